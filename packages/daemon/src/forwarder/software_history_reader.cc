#include "software_history_reader.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "jasminehatch/detail/forwarder/forwarding_host.h"
#include "jasminehatch/platform.h"

namespace jasminehatch::daemon {
namespace {

/// Maximum number of records before the end of the topic that are read after
/// the first page. A large registry has thousands of renewals a second.
constexpr std::uint64_t kMaxRecords = 2000;

}  // namespace

void SoftwareHistoryReader::Start(std::function<void()> on_done) {
  m_on_done = std::move(on_done);
  Read(0);
}

void SoftwareHistoryReader::Read(std::uint64_t from) {
  m_store.Read(
      platform::kUpstreamTopic, from, std::chrono::milliseconds(0),
      [this, from](const platform::StorePage& page) { OnPage(from, page); });
}

void SoftwareHistoryReader::OnPage(std::uint64_t from,
                                   const platform::StorePage& page) {
  using Status = platform::StorePage::Status;
  if (page.status == Status::kCompacted && page.first > from) {
    Read(page.first);
    return;
  }
  for (const platform::StoreRecord& record : page.records) {
    Apply(record);
  }
  const std::uint64_t next = from + page.records.size();
  if (page.status != Status::kRead || page.records.empty() ||
      next >= page.end) {
    m_on_done();
    return;
  }
  Read(std::max(next, page.end - std::min(page.end, kMaxRecords)));
}

void SoftwareHistoryReader::Apply(const platform::StoreRecord& record) {
  const auto entry = platform::DecodeUpstreamRecord(record.key, record.value);
  if (entry && m_seen.emplace(entry->service, entry->software_version).second) {
    m_host.Apply(forwarding::SoftwareVersionSeen{entry->service,
                                                 entry->software_version});
  }
}

}  // namespace jasminehatch::daemon
