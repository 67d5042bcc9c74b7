#ifndef JASMINEHATCH_DETAIL_SERVING_CRASH_TABLE_H_
#define JASMINEHATCH_DETAIL_SERVING_CRASH_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "jasminehatch/detail/base/digest.h"
#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::serving {

/// @brief Requests that may crash the upstreams that run them, by fingerprint.
///
/// A request that an upstream was running when it was lost is suspected of
/// having crashed it, until the counted losses expire. Requests of a
/// quarantined fingerprint are refused. The users of this class, `CrashTracker`
/// and `forwarding::CrashSuspects`, define what counts as a loss and at how
/// many losses a fingerprint is quarantined. Memory is bounded: the least
/// recently changed entry is evicted for a new one, suspects before
/// quarantines.
class CrashTable {
 public:
  explicit CrashTable(std::size_t capacity = kCapacity)
      : m_capacity(capacity) {}

  /// @brief Counts the loss of an upstream.
  /// @param until when the count expires
  /// @return the number of losses counted so far
  std::uint32_t AddLoss(const Fingerprint& fingerprint,
                        MonotonicTime now,
                        MonotonicTime until);

  /// @brief Quarantines the fingerprint until `until`. An existing quarantine
  /// is not shortened.
  void Quarantine(const Fingerprint& fingerprint,
                  MonotonicTime now,
                  MonotonicTime until);

  /// @brief Removes the losses of a request that completed while it ran alone.
  /// @return false if there were none, or if the fingerprint is quarantined
  bool Clear(const Fingerprint& fingerprint);

  /// @return whether a loss is counted for the fingerprint and has not expired.
  /// Suspects run only on an upstream that is isolated for them.
  bool IsSuspect(const Fingerprint& fingerprint, MonotonicTime now) const;
  bool IsQuarantined(const Fingerprint& fingerprint, MonotonicTime now) const {
    return QuarantineLeft(fingerprint, now).has_value();
  }

  /// @return the remaining time of the quarantine, if there is one
  std::optional<Duration> QuarantineLeft(const Fingerprint& fingerprint,
                                         MonotonicTime now) const;

  /// @return up to `max_count` quarantined fingerprints, the most recently
  /// changed first
  std::vector<Fingerprint> Quarantined(std::size_t max_count,
                                       MonotonicTime now) const;

  std::size_t Size() const { return m_entries.size(); }

 private:
  /// At about 128 bytes per entry, this limits memory to 1 MB.
  static constexpr std::size_t kCapacity = 8192;

  struct Entry {
    std::uint32_t losses = 0;
    bool quarantined = false;
    MonotonicTime until{};
    std::list<Fingerprint>::iterator place;
  };

  Entry& Touch(const Fingerprint& fingerprint, MonotonicTime now);
  void Erase(const Fingerprint& fingerprint);
  std::list<Fingerprint>& ListOf(const Entry& entry) {
    return entry.quarantined ? m_quarantined : m_suspects;
  }

  std::size_t m_capacity;
  std::unordered_map<Fingerprint, Entry> m_entries;
  std::list<Fingerprint> m_suspects;  ///< Least recently changed first.
  std::list<Fingerprint> m_quarantined;
};

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_CRASH_TABLE_H_
