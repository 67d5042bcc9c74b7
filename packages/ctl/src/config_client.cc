#include "jasminehatch/detail/ctl/config_client.h"

#include <chrono>
#include <optional>
#include <thread>
#include <utility>

#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/detail/ctl/sync_client.h"
#include "jasminehatch/detail/json/config_record.h"
#include "jasminehatch/detail/json/log_record.h"

namespace jasminehatch::ctl {
namespace {

constexpr std::chrono::milliseconds kCallTimeout{5000};
constexpr int kReadBackAttempts = 50;
constexpr std::chrono::milliseconds kReadBackDelay{100};

}  // namespace

std::vector<config::ConfigChange::Update> DiffEntries(
    const std::map<config::EntryId, config::Fields>& current,
    const std::map<config::EntryId, config::Fields>& wanted) {
  std::vector<config::ConfigChange::Update> updates;
  for (const auto& [id, fields] : wanted) {
    const auto old = current.find(id);
    if (old == current.end() || old->second != fields) {
      updates.push_back({id, fields});
    }
  }
  for (const auto& [id, fields] : current) {
    if (!wanted.contains(id)) {
      updates.push_back({id, std::nullopt});
    }
  }
  return updates;
}

config::ConfigFold ConfigClient::ReadAll() {
  config::ConfigReader reader;
  std::uint64_t next = 1;
  while (true) {
    net::HttpCall call;
    call.url = m_log_url + "/v1/streams/config/records?limit=1000&from=" +
               std::to_string(next);
    call.total_timeout = kCallTimeout;
    const net::HttpResult result = m_client.Call(std::move(call));
    if (result.kind != net::HttpResult::Kind::kComplete ||
        result.status != 200) {
      throw TransportError(
          310,
          "the log at " + m_log_url + " cannot be read: " +
              (result.error.empty() ? "HTTP " + std::to_string(result.status)
                                    : result.error));
    }
    const codec::LogPage page = codec::LogPage::Parse(result.body);
    reader.Read(codec::DecodeConfigPage(page, next));
    if (page.records.empty()) {
      break;
    }
    next = page.next;
  }
  if (!reader.Complete()) {
    throw TransportError(311, "the log at " + m_log_url +
                                  " lacks records and holds no complete "
                                  "snapshot of the configuration");
  }
  return reader.Fold();
}

PublishResult ConfigClient::Publish(
    const std::map<config::EntryId, config::Fields>& wanted,
    const std::string& change_id,
    const std::string& author,
    config::Version& version) {
  const config::ConfigFold before = ReadAll();
  version = before.CurrentVersion();
  config::ConfigChange change;
  change.change_id = change_id;
  change.base = before.CurrentVersion();
  change.author = author;
  change.updates = DiffEntries(before.Entries(), wanted);
  if (change.updates.empty()) {
    return PublishResult::kUnchanged;
  }
  net::HttpCall call;
  call.method = "POST";
  call.url = m_log_url + "/v1/streams/config/records";
  call.body = codec::EncodeConfigChange(change);
  call.total_timeout = kCallTimeout;
  m_client.Call(std::move(call));
  for (int i = 0; i < kReadBackAttempts; ++i) {
    try {
      const config::ConfigFold after = ReadAll();
      if (const auto outcome = after.OutcomeOf(change_id)) {
        version = after.CurrentVersion();
        return *outcome == config::ConfigFold::Result::kAccepted
                   ? PublishResult::kAccepted
                   : PublishResult::kRejected;
      }
    } catch (const TransportError&) {
      // The log may become readable again while the outcome is still unknown.
    }
    std::this_thread::sleep_for(kReadBackDelay);
  }
  return PublishResult::kUnknown;
}

}  // namespace jasminehatch::ctl
