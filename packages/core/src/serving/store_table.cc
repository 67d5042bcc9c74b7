#include "jasminehatch/detail/serving/store_table.h"

#include <algorithm>

namespace jasminehatch::serving {
namespace {

double SecondsBetween(MonotonicTime from, MonotonicTime to) {
  return std::chrono::duration<double>(to - from).count();
}

}  // namespace

double StoreView::TransferSeconds(double bytes, MonotonicTime now) const {
  const double rate = std::max(1.0, bytes_per_second);
  const double transferred = rate * SecondsBetween(pending_at, now);
  return (std::max(0.0, pending_bytes - transferred) + bytes) / rate;
}

void StoreTable::Apply(const StoresConfigured& event) {
  for (StoreView& view : m_views) {
    view.configured = false;
  }
  for (const StoreSpec& spec : event.stores) {
    const auto [entry, inserted] = m_by_name.try_emplace(
        spec.name, StoreId{static_cast<std::uint32_t>(m_views.size())});
    if (inserted) {
      m_views.emplace_back().id = entry->second;
      m_views.back().bytes_per_second = spec.link_bytes_per_second;
    }
    StoreView& view = m_views[entry->second.value];
    view.spec = spec;
    view.configured = true;
  }
}

void StoreTable::Apply(const StoreContentChanged& event) {
  for (const BlockKey& key : event.keys) {
    if (event.added) {
      m_exports.Add(UpstreamId{event.store.value}, key);
    } else {
      m_exports.Evict(UpstreamId{event.store.value}, key);
    }
  }
}

void StoreTable::Apply(const StoreLinkReported& event, MonotonicTime now) {
  StoreView& view = m_views.at(event.store.value);
  view.reachable = true;
  view.bytes_per_second = event.bytes_per_second;
  view.pending_bytes = event.pending_bytes;
  view.pending_at = now - event.age;
}

void StoreTable::Apply(const StoreUnreachable& event) {
  m_views.at(event.store.value).reachable = false;
}

void StoreTable::AddTransfer(StoreId store, double bytes, MonotonicTime now) {
  StoreView& view = m_views.at(store.value);
  view.pending_bytes =
      view.TransferSeconds(bytes, now) * std::max(1.0, view.bytes_per_second);
  view.pending_at = now;
}

std::vector<StoreTable::Match> StoreTable::FindHolders(
    std::span<const BlockKey> keys) const {
  std::vector<Match> matches;
  for (const PrefixIndex::Match& match : m_exports.FindHolders(keys)) {
    const StoreView& view = m_views.at(match.upstream.value);
    if (view.configured && view.reachable) {
      matches.push_back({view.id, match.blocks});
    }
  }
  return matches;
}

}  // namespace jasminehatch::serving
