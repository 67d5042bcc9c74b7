#include "jasminehatch/detail/forwarder/topic_follower.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <chrono>
#include <span>
#include <utility>
#include <vector>

#include "jasminehatch/detail/base/clock.h"
#include "jasminehatch/detail/relay/record_part.h"
#include "jasminehatch/platform.h"
#include "while_alive.h"

namespace jasminehatch::daemon {
namespace {

/// Pause between reads of records that peers tell of in each message. The store
/// may reject this daemon only, so that it stays behind its peers.
constexpr std::chrono::milliseconds kMissingReadPause{300};
constexpr std::chrono::milliseconds kMissingReadPauseInOutage{1500};

/// Interval at which a follower checks whether it has to read by itself.
constexpr std::chrono::milliseconds kRoleCheckInterval{200};

/// Time for which followers are told that the store could be read again after
/// an outage. A later outage is told apart from the same one by more than that.
constexpr std::chrono::milliseconds kRecoveryNoticeTime{2000};

/// Records with a larger value, such as configurations, are relayed in parts.
constexpr std::size_t kMaxWholeRecordBytes = 4096;

/// Largest part, in bytes. With other feeds, an answer stays within what
/// `ZoneRelay` sends in a datagram.
constexpr std::size_t kMaxPartBytes = 6000;

/// Maximum delay of a follower's first read of an epoch, so that the daemons of
/// a large zone do not all read in the same moment.
constexpr std::chrono::milliseconds kMaxRestartDelay{500};

/// Records that arrived corrupted in a row before one is read from the store.
constexpr std::size_t kMaxCorruptedRecords = 2;

bool IsLarge(const relay::Record& record) {
  return record.value.size() > kMaxWholeRecordBytes;
}

relay::Record ToRelayed(const platform::StoreRecord& record) {
  return {record.offset, record.key, record.value, record.removed};
}

/// @return the position that a daemon has reached in a feed, or that the
/// changes of a feed lead to
template <typename Feed>
LogPosition PositionOf(const Feed& feed) {
  return {static_cast<std::uint32_t>(feed.epoch), feed.position};
}

std::uint64_t AgeInMilliseconds(Duration age) {
  return static_cast<std::uint64_t>(
      std::chrono::ceil<std::chrono::milliseconds>(
          std::max(age, Duration::zero()))
          .count());
}

}  // namespace

TopicFollower::TopicFollower(asio::io_context& loop,
                             platform::StoreClient& store,
                             const Clock& clock,
                             Options options,
                             Callbacks callbacks)
    : m_store(store),
      m_clock(clock),
      m_options(std::move(options)),
      m_callbacks(std::move(callbacks)),
      m_timer(loop),
      m_schedule(m_options.max_relayed_age) {
  if (m_options.is_renewal != nullptr) {
    m_mirror.emplace(m_options.is_renewal);
  }
}

void TopicFollower::ReadSnapshot() {
  const MonotonicTime sent_at = m_clock.Now();
  m_reading_snapshot = true;
  m_store.ReadNewest(
      m_options.topic, [this, sent_at, generation = m_generation](
                           const platform::StorePage& page) {
        OnStoreEpoch(page.epoch);
        if (generation != m_generation) {
          return;
        }
        m_reading_snapshot = false;
        const std::string outdated = CheckEpoch(page);
        if (page.status != platform::StorePage::Status::kRead ||
            !outdated.empty()) {
          // A later read finds out again that a snapshot is needed.
          const std::chrono::milliseconds delay =
              OnReadFailed(outdated.empty() ? page.detail : outdated);
          m_retrying = m_end_offset.has_value();
          Schedule(delay, m_end_offset ? &TopicFollower::Read
                                       : &TopicFollower::ReadSnapshot);
          return;
        }
        OnReadSucceeded();
        if (IsOutdated(page, sent_at)) {
          Schedule(Pause(), &TopicFollower::Read);
          return;
        }
        OnSnapshot(page);
        OnCaughtUp(sent_at);
        Schedule(Pause(), &TopicFollower::Read);
      });
}

void TopicFollower::OnStoreEpoch(std::uint32_t epoch) {
  if (epoch <= m_epoch) {
    return;
  }
  const bool first = m_epoch == 0 && !m_end_offset;
  m_epoch = epoch;
  if (first) {
    return;
  }
  m_end_offset.reset();
  m_next_offset = 0;
  m_large_record = {};
  m_digest.reset();
  if (m_mirror) {
    m_mirror.emplace(m_options.is_renewal);
  }
  m_settled_at = m_clock.Now() + m_options.settle_time;
  ++m_generation;
  m_extra_read_pending = false;
  m_reading_snapshot = false;
  m_retrying = false;
  const double draw = std::uniform_real_distribution<double>(0, 1)(m_random);
  const double fraction = Role() == relay::FeedRole::kFollower ? draw : 0;
  Schedule(std::chrono::duration_cast<std::chrono::milliseconds>(
               kMaxRestartDelay * fraction),
           &TopicFollower::ReadSnapshot);
}

void TopicFollower::StartOver() {
  if (m_reading_snapshot) {
    return;
  }
  ++m_generation;
  m_extra_read_pending = false;
  m_timer.cancel();
  ReadSnapshot();
}

std::string TopicFollower::CheckEpoch(const platform::StorePage& page) const {
  return page.epoch < m_epoch &&
                 page.status != platform::StorePage::Status::kFailed
             ? "the response is of an earlier epoch of the store"
             : "";
}

std::chrono::milliseconds TopicFollower::MaxWait() const {
  if (!m_settled_at) {
    return m_options.max_wait;
  }
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(*m_settled_at -
                                                                 m_clock.Now());
  return std::clamp(left, std::chrono::milliseconds(0), m_options.max_wait);
}

bool TopicFollower::IsOutdated(const platform::StorePage& page,
                               MonotonicTime sent_at) const {
  const auto known_at = m_schedule.KnownAt();
  return m_end_offset && page.end < *m_end_offset && known_at &&
         *known_at >= sent_at;
}

void TopicFollower::OnSnapshot(const platform::StorePage& page) {
  m_next_offset = page.end;
  m_end_offset = m_next_offset;
  if (m_mirror) {
    std::vector<relay::Record> records;
    for (const platform::StoreRecord& record : page.records) {
      records.push_back(ToRelayed(record));
    }
    m_mirror->Reset(records, page.end);
  }
  const bool settled = !m_settled_at || m_clock.Now() >= *m_settled_at;
  if (settled) {
    m_settled_at.reset();
  }
  m_callbacks.on_snapshot(page.records, settled ? SnapshotKind::kComplete
                                                : SnapshotKind::kOlderCopy);
}

void TopicFollower::OnCaughtUp(MonotonicTime known_at) {
  m_schedule.OnKnown(known_at);
  m_callbacks.on_caught_up(known_at);
}

std::chrono::milliseconds TopicFollower::Pause() const {
  return Role() == relay::FeedRole::kReader ? m_options.reader_pause
                                            : m_options.pause;
}

void TopicFollower::Read() {
  if (m_settled_at && m_clock.Now() >= *m_settled_at) {
    ReadSnapshot();
    return;
  }
  const Duration left =
      m_schedule.TimeLeft(m_clock.Now(), {m_epoch, m_next_offset});
  if (left > Duration::zero()) {
    // The role may change meanwhile.
    Schedule(std::min(std::chrono::ceil<std::chrono::milliseconds>(left),
                      kRoleCheckInterval),
             &TopicFollower::Read);
    return;
  }
  // A retry shows at once whether the store can be read again.
  const bool retry = std::exchange(m_retrying, false) && m_failing_since;
  SendRead(retry ? std::chrono::milliseconds(0) : MaxWait(), true);
}

void TopicFollower::ReadForProof() {
  const bool retry_is_due = m_retrying && m_failing_since;
  if (!retry_is_due && m_schedule.MayReadForProof(m_clock.Now())) {
    ReadNow();
  }
}

void TopicFollower::OnRecordsAnnounced(LogPosition end) {
  m_schedule.OnAnnounced(end, m_clock.Now());
  if (Role() != relay::FeedRole::kFollower) {
    ReadMissingRecords();
  }
}

void TopicFollower::ReadMissingRecords() {
  const MonotonicTime now = m_clock.Now();
  const std::chrono::milliseconds pause =
      IsFailing() ? kMissingReadPauseInOutage : kMissingReadPause;
  if (!m_missing_read_at || now - *m_missing_read_at >= pause) {
    m_missing_read_at = now;
    ReadForProof();
  }
}

void TopicFollower::ReadNow() {
  if (m_end_offset && !std::exchange(m_extra_read_pending, true)) {
    SendRead(std::chrono::milliseconds(0), false);
  }
}

void TopicFollower::SendRead(std::chrono::milliseconds wait,
                             bool schedule_next) {
  const MonotonicTime sent_at = m_clock.Now();
  m_store.Read(m_options.topic, m_next_offset, wait,
               [this, sent_at, schedule_next,
                generation = m_generation](const platform::StorePage& page) {
                 OnStoreEpoch(page.epoch);
                 if (generation != m_generation) {
                   return;
                 }
                 if (!schedule_next) {
                   m_extra_read_pending = false;
                 }
                 OnPage(page, sent_at, schedule_next);
               });
}

void TopicFollower::OnPage(const platform::StorePage& page,
                           MonotonicTime sent_at,
                           bool schedule_next) {
  const std::string outdated = CheckEpoch(page);
  if (page.status == platform::StorePage::Status::kFailed ||
      !outdated.empty()) {
    const std::chrono::milliseconds delay =
        OnReadFailed(outdated.empty() ? page.detail : outdated);
    if (schedule_next) {
      m_retrying = true;
      Schedule(delay, &TopicFollower::Read);
    }
    return;
  }
  if (page.status == platform::StorePage::Status::kCompacted) {
    OnReadSucceeded();
    StartOver();
    return;
  }
  OnReadSucceeded();
  Deliver(page);
  if (m_next_offset == page.end) {
    OnCaughtUp(sent_at);
  }
  if (schedule_next) {
    // A page that ends before the newest record is followed by the next at
    // once.
    const bool more = m_next_offset < page.end;
    Schedule(more ? std::chrono::milliseconds(0) : Pause(),
             &TopicFollower::Read);
  }
}

void TopicFollower::Deliver(const platform::StorePage& page) {
  // Two concurrent reads may return the same records.
  const auto first = std::find_if(page.records.begin(), page.records.end(),
                                  [this](const platform::StoreRecord& r) {
                                    return r.offset >= m_next_offset;
                                  });
  if (first == page.records.end()) {
    return;
  }
  m_next_offset = page.records.back().offset + 1;
  m_end_offset = m_next_offset;
  DropOutdatedParts();
  // A renewal changes a value at its offset.
  m_digest.reset();
  if (m_mirror) {
    for (auto record = first; record != page.records.end(); ++record) {
      m_mirror->Add(ToRelayed(*record));
    }
    m_mirror->SetEnd(m_next_offset);
  }
  m_callbacks.on_records({first, page.records.end()});
}

void TopicFollower::DropOutdatedParts() {
  if (m_large_record.Received().offset < m_next_offset) {
    m_large_record = {};
  }
}

std::optional<codec::FeedPosition> TopicFollower::Position() const {
  if (!m_end_offset) {
    return std::nullopt;
  }
  codec::FeedPosition position{0, m_epoch, m_next_offset, {}};
  // Without it, the reader answers that there are records to read.
  if (m_large_record.Corrupted() < kMaxCorruptedRecords) {
    position.large_record = m_large_record.Received();
  }
  return position;
}

std::optional<codec::FeedDelta> TopicFollower::ChangesSince(
    const codec::FeedPosition& position,
    std::size_t max_bytes) const {
  const auto known_at = m_schedule.KnownAt();
  const LogPosition own{m_epoch, m_next_offset};
  if (!m_end_offset || !known_at || PositionOf(position) > own) {
    return std::nullopt;
  }
  using Status = codec::FeedDelta::Status;
  const MonotonicTime now = m_clock.Now();
  codec::FeedDelta delta;
  delta.epoch = m_epoch;
  delta.position = m_next_offset;
  delta.age_ms = AgeInMilliseconds(now - *known_at);
  if (m_recovered_at && now - *m_recovered_at <= kRecoveryNoticeTime) {
    delta.recovered_age_ms = AgeInMilliseconds(now - *m_recovered_at);
  }
  if (PositionOf(position) == own) {
    return delta;
  }
  if (position.epoch != m_epoch || !FillChanges(position, max_bytes, delta)) {
    delta.status = Status::kMissing;
  }
  return delta;
}

bool TopicFollower::FillChanges(const codec::FeedPosition& position,
                                std::size_t max_bytes,
                                codec::FeedDelta& delta) const {
  using Status = codec::FeedDelta::Status;
  auto changes =
      m_mirror ? m_mirror->Since(position.position, max_bytes) : std::nullopt;
  if (!changes) {
    return false;
  }
  const auto large =
      std::find_if(changes->records.begin(), changes->records.end(), &IsLarge);
  if (large == changes->records.end()) {
    delta.records = std::move(changes->records);
    delta.position = changes->end;
    delta.status = changes->more ? Status::kPartial : Status::kComplete;
    return true;
  }
  if (!position.large_record ||
      large->value.size() > relay::kMaxRelayedValueBytes) {
    return false;
  }
  delta.status = Status::kPartial;
  if (large != changes->records.begin()) {
    delta.position = large->offset;
    delta.records.assign(changes->records.begin(), large);
    return true;
  }
  const std::uint64_t begin = position.large_record->offset == large->offset
                                  ? position.large_record->received
                                  : 0;
  delta.position = position.position;
  delta.part = relay::MakePart(*large, DigestOf(*large), begin,
                               std::min(kMaxPartBytes, max_bytes));
  return true;
}

std::uint64_t TopicFollower::DigestOf(const relay::Record& record) const {
  if (!m_digest || m_digest->first != record.offset) {
    m_digest = {record.offset, relay::DigestOf(record)};
  }
  return m_digest->second;
}

void TopicFollower::Accept(const codec::FeedDelta& delta,
                           MonotonicTime known_at) {
  const LogPosition own{m_epoch, m_next_offset};
  if (!m_end_offset || PositionOf(delta) < own) {
    return;
  }
  if (delta.epoch != m_epoch ||
      delta.status == codec::FeedDelta::Status::kMissing) {
    if (PositionOf(delta) > own) {
      ReadMissingRecords();
    }
    return;
  }
  if (delta.recovered_age_ms && m_mirror) {
    OnRelayedRecovery(m_clock.Now() -
                      std::chrono::milliseconds(*delta.recovered_age_ms));
  }
  if (delta.part) {
    AcceptPart(*delta.part);
    return;
  }
  DeliverRelayed(delta.records, delta.position);
  if (delta.status == codec::FeedDelta::Status::kComplete) {
    OnCaughtUp(known_at);
    EndOutage(known_at);
  }
}

void TopicFollower::AcceptPart(const relay::RecordPart& part) {
  if (part.offset < m_next_offset) {
    return;
  }
  if (const auto record = m_large_record.Add(part)) {
    DeliverRelayed(std::span(&*record, 1), record->offset + 1);
  }
}

void TopicFollower::DeliverRelayed(std::span<const relay::Record> relayed,
                                   std::uint64_t end) {
  std::vector<platform::StoreRecord> records;
  for (const relay::Record& record : relayed) {
    if (record.offset < m_next_offset) {
      continue;
    }
    records.push_back(
        {record.offset, record.key, record.value, record.removed});
    if (m_mirror) {
      m_mirror->Add(record);
    }
  }
  m_next_offset = end;
  m_end_offset = m_next_offset;
  DropOutdatedParts();
  // A renewal changes a value at its offset.
  m_digest.reset();
  if (m_mirror) {
    m_mirror->SetEnd(m_next_offset);
  }
  if (!records.empty()) {
    m_callbacks.on_records(records);
  }
}

void TopicFollower::OnRelayedRecovery(MonotonicTime recovered_at) {
  // Both times may differ by the delay of a message.
  if (m_recovered_at && recovered_at < *m_recovered_at + kRecoveryNoticeTime) {
    return;
  }
  m_recovered_at = recovered_at;
  m_failing_since.reset();
  m_outage_reported = false;
  m_callbacks.on_recovered(m_options.notable_outage);
}

void TopicFollower::SetRole(relay::FeedRole role) {
  if (Role() == relay::FeedRole::kFollower && role != Role() && m_mirror) {
    m_mirror->ExpectChanges();
  }
  m_schedule.SetRole(role);
}

Duration TopicFollower::ReadPause() const {
  return m_schedule.ReadPause(m_clock.Now());
}

Duration TopicFollower::ReportedReadPause() const {
  return m_schedule.ReportedPause(m_clock.Now());
}

void TopicFollower::OnReadSucceeded() {
  m_schedule.OnReadSucceeded();
  EndOutage(m_clock.Now());
}

void TopicFollower::EndOutage(MonotonicTime known_at) {
  if (!m_failing_since || known_at <= *m_failing_since) {
    return;
  }
  const Duration outage = known_at - *m_failing_since;
  m_failing_since.reset();
  m_outage_reported = false;
  if (outage >= m_options.notable_outage) {
    m_recovered_at = m_clock.Now();
  }
  m_callbacks.on_recovered(outage);
}

std::chrono::milliseconds TopicFollower::OnReadFailed(
    const std::string& detail) {
  if (!m_failing_since) {
    m_failing_since = m_clock.Now();
  }
  if (!std::exchange(m_outage_reported, true)) {
    m_callbacks.on_unavailable(detail);
  }
  const double draw = std::uniform_real_distribution<double>(0, 1)(m_random);
  return std::chrono::ceil<std::chrono::milliseconds>(
      m_schedule.OnReadFailed(m_clock.Now(), draw));
}

void TopicFollower::Schedule(std::chrono::milliseconds delay,
                             void (TopicFollower::*next)()) {
  m_timer.expires_after(delay);
  m_timer.async_wait(
      WhileAlive(m_alive, [this, next](const asio::error_code& error) {
        if (!error) {
          (this->*next)();
        }
      }));
}

}  // namespace jasminehatch::daemon
