#ifndef JASMINEHATCH_DETAIL_SERVING_CRASH_REGISTRY_H_
#define JASMINEHATCH_DETAIL_SERVING_CRASH_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

#include "jasminehatch/detail/base/digest.h"
#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::serving {

/// @brief Counts the upstreams that were lost while running a request, by
/// fingerprint, and remembers quarantines. Memory is bounded: the entry that
/// was changed longest ago makes room for a new one, suspects before
/// quarantines.
class CrashRegistry {
 public:
  explicit CrashRegistry(std::size_t capacity = kCapacity)
      : m_capacity(capacity) {}

  /// @brief Counts an upstream loss.
  /// @param until when the count is forgotten
  /// @return the losses counted so far
  std::uint32_t AddLoss(const Fingerprint& fingerprint,
                        MonotonicTime now,
                        MonotonicTime until);

  /// @brief Refuses the fingerprint until `until`; a later end wins.
  void Quarantine(const Fingerprint& fingerprint,
                  MonotonicTime now,
                  MonotonicTime until);

  /// @brief Forgets the losses of a request that finished while it ran alone.
  /// @return false when there were none, or when it is quarantined
  bool Clear(const Fingerprint& fingerprint);

  bool IsSuspect(const Fingerprint& fingerprint, MonotonicTime now) const;
  bool IsQuarantined(const Fingerprint& fingerprint, MonotonicTime now) const {
    return QuarantineLeft(fingerprint, now).has_value();
  }

  /// @return how long the quarantine still lasts, if there is one
  std::optional<Duration> QuarantineLeft(const Fingerprint& fingerprint,
                                         MonotonicTime now) const;

  std::size_t Size() const { return m_entries.size(); }

 private:
  /// About 128 bytes an entry, so at most 1 MB.
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
  std::list<Fingerprint> m_suspects;  ///< Oldest change first.
  std::list<Fingerprint> m_quarantined;
};

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_CRASH_REGISTRY_H_
