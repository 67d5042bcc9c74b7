#include "jasminehatch/detail/forwarder/lease_topic.h"

#include <array>
#include <chrono>
#include <utility>

#include "jasminehatch/codec.h"
#include "jasminehatch/detail/base/clock.h"
#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/platform.h"
#include "jasminehatch/telemetry.h"

namespace jasminehatch::daemon {

using telemetry::DecisionLog;
using telemetry::DecisionLogField;

LeaseTopic::LeaseTopic(const Clock& clock,
                       platform::StoreClient& store,
                       telemetry::DecisionLog& log,
                       Callbacks callbacks)
    : m_clock(clock),
      m_store(store),
      m_log(log),
      m_callbacks(std::move(callbacks)) {}

void LeaseTopic::Read() {
  if (std::exchange(m_read_pending, true)) {
    return;
  }
  m_last_read_at = m_clock.Now();
  m_store.Read(platform::kLeaseTopic, m_next_offset,
               std::chrono::milliseconds(0),
               [this, from = m_next_offset](const platform::StorePage& page) {
                 m_read_pending = false;
                 OnPage(from, page);
               });
}

void LeaseTopic::OnEpoch(std::uint32_t epoch) {
  if (epoch <= m_epoch) {
    return;
  }
  m_epoch = epoch;
  m_next_offset = 0;
  const std::string number = std::to_string(epoch);
  const std::array fields{DecisionLogField{"epoch", number}};
  m_log.Write(DecisionLog::Level::kState, "lease_log_restored", fields);
  m_callbacks.on_records_lost({epoch});
  Read();
}

void LeaseTopic::OnPage(std::uint64_t from, const platform::StorePage& page) {
  if (page.epoch > m_epoch) {
    OnEpoch(page.epoch);
    return;
  }
  if (page.status == platform::StorePage::Status::kFailed ||
      page.epoch < m_epoch) {
    m_callbacks.on_read_failed();
    return;
  }
  if (from > m_next_offset) {
    // The offset belongs to an earlier epoch.
    Read();
    return;
  }
  if (page.status == platform::StorePage::Status::kCompacted) {
    m_next_offset = page.first;
    m_log.Write(DecisionLog::Level::kState, "lease_records_expired", {});
    m_callbacks.on_records_lost({m_epoch});
    Read();
    return;
  }
  lease::LeaseRecordsRead read;
  for (const platform::StoreRecord& record : page.records) {
    m_next_offset = record.offset + 1;
    try {
      read.records.push_back(
          {record.offset + 1, codec::DecodeLease(record.value)});
    } catch (const CodecError& error) {
      const std::array fields{DecisionLogField{"detail", error.what()}};
      m_log.Write(DecisionLog::Level::kState, "lease_record_invalid", fields);
    }
  }
  read.at_end = m_next_offset >= page.end;
  m_callbacks.on_records(read);
  if (!read.at_end) {
    Read();
  }
}

void LeaseTopic::Append(const lease::LeaseRecord& record) {
  const std::uint64_t at = m_next_offset;
  m_store.Append(
      platform::kLeaseTopic, codec::EncodeLease(record), at,
      [this, record, at](const platform::StoreAppendResult& outcome) {
        using Status = platform::StoreAppendResult::Status;
        OnEpoch(outcome.epoch);
        if (outcome.status == Status::kAppended && outcome.offset == at &&
            m_next_offset == at && outcome.epoch == record.epoch &&
            record.epoch == m_epoch) {
          m_next_offset = at + 1;
          lease::LeaseRecordsRead read;
          read.records.push_back({at + 1, record});
          read.at_end = true;
          m_callbacks.on_records(read);
          return;
        }
        m_callbacks.on_append_failed();
        Read();
      });
}

}  // namespace jasminehatch::daemon
