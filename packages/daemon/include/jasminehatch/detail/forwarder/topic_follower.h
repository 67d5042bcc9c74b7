#ifndef JASMINEHATCH_DETAIL_FORWARDER_TOPIC_FOLLOWER_H_
#define JASMINEHATCH_DETAIL_FORWARDER_TOPIC_FOLLOWER_H_

#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <utility>

#include "jasminehatch/detail/base/log_position.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/forwarder/relayed_feed.h"
#include "jasminehatch/detail/relay/read_schedule.h"
#include "jasminehatch/detail/relay/record_assembly.h"
#include "jasminehatch/detail/relay/record_mirror.h"

namespace asio {
class io_context;
}

namespace jasminehatch {
class Clock;
}

namespace jasminehatch::platform {
class StoreClient;
struct StorePage;
struct StoreRecord;
}  // namespace jasminehatch::platform

namespace jasminehatch::daemon {

/// @brief What the absence of a record in a snapshot says.
enum class SnapshotKind {
  kComplete,  ///< A key without a record does not exist.
  /// The store has come back from an older copy: until the writers have written
  /// again what it lost, later records may be missing, and removed ones back.
  kOlderCopy,
};

/// @brief Follows a keyed topic of the platform's store: reads the newest
/// record of each key, then each further record in order. Starts over when
/// records were compacted away before they were read, and when the store came
/// back from an older copy: its offsets then name other records.
///
/// In a large zone it is a relayed feed: a reader's reads also serve the
/// followers, which read by themselves only when what they know is too old.
class TopicFollower : public RelayedFeed {
 public:
  struct Options {
    std::string topic;
    /// How long the store may hold a read until a record exists.
    std::chrono::milliseconds max_wait{0};
    /// Pause between two reads.
    std::chrono::milliseconds pause{0};
    /// Pause between two reads of the zone's reader.
    std::chrono::milliseconds reader_pause{0};
    /// Age of what a follower knows from which it reads by itself.
    std::chrono::milliseconds max_relayed_age{0};
    /// Length from which followers are told of an outage of the reader.
    std::chrono::milliseconds notable_outage{800};
    /// Time after the store came back from an older copy by which the writers
    /// have written again what it lost, and entries that nobody writes any more
    /// have expired. The next snapshot after it is complete.
    std::chrono::milliseconds settle_time{5000};
    /// Tells records that only renew their key. Without it, records are not
    /// relayed: followers only learn that there are some, and read them. The
    /// same holds for records above `relay::kMaxRelayedValueBytes`.
    relay::RecordMirror::IsRenewal is_renewal = nullptr;
  };

  struct Callbacks {
    /// The newest record of each key.
    std::function<void(std::span<const platform::StoreRecord>, SnapshotKind)>
        on_snapshot;
    /// Further records, in order.
    std::function<void(std::span<const platform::StoreRecord>)> on_records;
    /// A read that was sent at this time reached the newest record.
    std::function<void(MonotonicTime sent_at)> on_caught_up;
    /// Reads have begun to fail, for the given reason.
    std::function<void(const std::string& detail)> on_unavailable;
    /// Reads succeed again after they failed for this long.
    std::function<void(Duration outage)> on_recovered;
  };

  TopicFollower(asio::io_context& loop,
                platform::StoreClient& store,
                const Clock& clock,
                Options options,
                Callbacks callbacks);

  void Start() { ReadSnapshot(); }

  /// Sets the pause of a daemon that reads for itself alone.
  void SetPause(std::chrono::milliseconds pause) { m_options.pause = pause; }

  /// Reads at once, in addition to a waiting read. For a caller that knows that
  /// a record exists, or needs a proof that none does.
  void ReadNow();

  /// @return whether the latest read failed
  bool IsFailing() const { return m_failing_since.has_value(); }

  /// Reads at once for a freshness proof, unless a retry is due that gives one
  /// or other daemons of the zone look for one that can read.
  void ReadForProof();

  /// Records that a peer knows records up to this position. A follower reads
  /// them by itself only if they are not relayed soon; others read at once, and
  /// again after a pause if they still lack them.
  void OnRecordsAnnounced(LogPosition end);

  /// Starts over if the store named a higher epoch than that of the records
  /// already read.
  void OnStoreEpoch(std::uint32_t epoch);

  /// Records that a peer proved that nothing followed the end offset then.
  void OnPeerProof(MonotonicTime known_at) { m_schedule.OnKnown(known_at); }

  /// @return the position after the last record read; empty before the first
  /// read of an epoch
  std::optional<LogPosition> End() const {
    return m_end_offset ? std::optional(LogPosition{m_epoch, *m_end_offset})
                        : std::nullopt;
  }

  relay::FeedRole Role() const { return m_schedule.Role(); }

  std::optional<codec::FeedPosition> Position() const override;
  std::optional<codec::FeedDelta> ChangesSince(
      const codec::FeedPosition& position,
      std::size_t max_bytes) const override;
  void Accept(const codec::FeedDelta& delta, MonotonicTime known_at) override;
  void SetRole(relay::FeedRole role) override;
  Duration ReadPause() const override;
  Duration ReportedReadPause() const override;
  void DeferReads(MonotonicTime until) override { m_schedule.Defer(until); }

 private:
  void ReadSnapshot();
  /// Drops all reads in progress and reads a snapshot at once.
  void StartOver();
  void Read();
  /// @return why a response cannot be used: empty if it can
  std::string CheckEpoch(const platform::StorePage& page) const;
  /// @return how long the next read may wait for a record
  std::chrono::milliseconds MaxWait() const;
  /// Reads records that a peer knows of, unless it was tried just now.
  void ReadMissingRecords();
  std::chrono::milliseconds Pause() const;
  /// @return whether later records arrived through the relay while a snapshot
  /// was read, which it would undo
  bool IsOutdated(const platform::StorePage& page, MonotonicTime sent_at) const;
  void OnSnapshot(const platform::StorePage& page);
  /// Fills in the records, or the part of a large one, after a position.
  /// @return whether they can be relayed
  bool FillChanges(const codec::FeedPosition& position,
                   std::size_t max_bytes,
                   codec::FeedDelta& delta) const;
  std::uint64_t DigestOf(const relay::Record& record) const;
  void AcceptPart(const relay::RecordPart& part);
  /// Drops the parts of a record before the end offset.
  void DropOutdatedParts();
  void DeliverRelayed(std::span<const relay::Record> relayed,
                      std::uint64_t end);
  void OnRelayedRecovery(MonotonicTime recovered_at);
  /// Records that there was nothing after the end at this time.
  void OnCaughtUp(MonotonicTime known_at);
  void SendRead(std::chrono::milliseconds wait, bool schedule_next);
  /// @param schedule_next whether to schedule the next read after this one
  void OnPage(const platform::StorePage& page,
              MonotonicTime sent_at,
              bool schedule_next);
  void Deliver(const platform::StorePage& page);
  void OnReadSucceeded();
  /// Ends an outage during which others of the zone could read.
  void EndOutage(MonotonicTime known_at);
  /// @return the delay after which to read again
  std::chrono::milliseconds OnReadFailed(const std::string& detail);
  void Schedule(std::chrono::milliseconds delay, void (TopicFollower::*next)());

  platform::StoreClient& m_store;
  const Clock& m_clock;
  Options m_options;
  Callbacks m_callbacks;
  asio::steady_timer m_timer;
  std::uint32_t m_epoch = 0;  ///< Epoch of the store that offsets belong to.
  std::uint64_t m_next_offset = 0;
  std::optional<std::uint64_t> m_end_offset;
  /// Increases when the reads in progress become obsolete.
  std::uint64_t m_generation = 0;
  bool m_reading_snapshot = false;
  /// When snapshots are complete again after the store was restored, if it was.
  std::optional<MonotonicTime> m_settled_at;
  std::optional<MonotonicTime> m_failing_since;
  bool m_outage_reported = false;
  bool m_extra_read_pending = false;
  std::optional<MonotonicTime> m_missing_read_at;
  relay::ReadSchedule m_schedule;
  bool m_retrying = false;  ///< The next scheduled read repeats a failed one.
  std::optional<relay::RecordMirror> m_mirror;
  relay::RecordAssembly m_large_record;
  /// Digest of the large record relayed last, by its offset: many followers ask
  /// for its parts.
  mutable std::optional<std::pair<std::uint64_t, std::uint64_t>> m_digest;
  /// End of the latest outage.
  std::optional<MonotonicTime> m_recovered_at;
  std::mt19937_64 m_random{std::random_device{}()};
  /// Expires when this object is destroyed.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_FORWARDER_TOPIC_FOLLOWER_H_
