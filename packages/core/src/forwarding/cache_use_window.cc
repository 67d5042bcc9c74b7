#include "jasminehatch/detail/forwarding/cache_use_window.h"

#include <algorithm>

namespace jasminehatch::forwarding {
namespace {

constexpr auto kFreeDelay =
    CacheUseWindow::kUseTime + CacheUseWindow::kFetchTimeout;

}  // namespace

void CacheUseWindow::OnConfirmed(MonotonicTime confirmed_at) {
  m_confirmed_at =
      std::max(m_confirmed_at.value_or(confirmed_at), confirmed_at);
}

void CacheUseWindow::OnPublished(const std::string& model,
                                 std::uint64_t version,
                                 MonotonicTime now) {
  std::vector<Published>& versions = m_published[model];
  if (!versions.empty() && version <= versions.back().version) {
    return;
  }
  versions.push_back({version, now, m_confirmed_at});
  // Of the versions read long ago, the last one stands for the earlier ones:
  // all that is older than any of them may be freed.
  const auto recent = std::find_if(
      versions.begin(), versions.end(), [now](const Published& published) {
        return now - published.read_at < kFreeDelay;
      });
  if (recent - versions.begin() > 1) {
    versions.erase(versions.begin(), recent - 1);
  }
}

const CacheUseWindow::Published* CacheUseWindow::Successor(
    const std::string& model,
    std::uint64_t version) const {
  const auto found = m_published.find(model);
  if (found == m_published.end()) {
    return nullptr;
  }
  const auto successor =
      std::find_if(found->second.begin(), found->second.end(),
                   [version](const Published& published) {
                     return published.version > version;
                   });
  return successor == found->second.end() ? nullptr : &*successor;
}

bool CacheUseWindow::MayUse(const std::string& model,
                            std::uint64_t version,
                            MonotonicTime now) const {
  const Published* successor = Successor(model, version);
  const auto newest_at =
      successor == nullptr ? m_confirmed_at : successor->unpublished_at;
  return newest_at && *newest_at <= now && now - *newest_at < kUseTime;
}

bool CacheUseWindow::MayFree(const std::string& model,
                             std::uint64_t version,
                             MonotonicTime now) const {
  const Published* successor = Successor(model, version);
  return successor != nullptr && now - successor->read_at >= kFreeDelay;
}

}  // namespace jasminehatch::forwarding
