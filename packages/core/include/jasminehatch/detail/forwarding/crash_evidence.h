#ifndef JASMINEHATCH_DETAIL_FORWARDING_CRASH_EVIDENCE_H_
#define JASMINEHATCH_DETAIL_FORWARDING_CRASH_EVIDENCE_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/forwarding/part_crash.h"

namespace jasminehatch::forwarding {

/// @brief The crashes in which each prompt part took part.
///
/// Memory is bounded by bytes, not by the number of parts, since a prompt may
/// have thousands. When it is used up, parts that took part in the fewest
/// crashes are dropped first, those that have had no new crash for longest
/// before others: a part that causes crashes has more and more of them, however
/// many other parts come with it.
class CrashEvidence {
 public:
  /// In the order of time.
  using Crashes = std::vector<PartCrash>;

  static constexpr std::size_t kMaxBytes = 1024UL * 1024;

  /// Time for which crashes without a later answer count.
  static constexpr std::chrono::minutes kLifetime{10};

  /// @brief Adds a crash of a part.
  /// @return false if the crash of that upstream is known, or if the part has
  /// as many crashes as are kept and none has expired
  bool Add(std::uint64_t part, const PartCrash& crash, MonotonicTime now);

  /// Removes all crashes of a part.
  void Erase(std::uint64_t part);

  /// @return the crashes of the part, or null if there are none
  const Crashes* Find(std::uint64_t part) const;

  /// @return the number of parts
  std::size_t Size() const { return m_entries.size(); }

  /// @return an upper bound of the memory in use
  std::size_t Bytes() const { return m_bytes; }

 private:
  static constexpr std::size_t kMaxCrashesPerPart = 16;

  struct Entry {
    Crashes crashes;
    std::list<std::uint64_t>::iterator place;  ///< In `ListOf` the entry.
  };

  /// @return the memory of a part with this number of crashes
  static std::size_t BytesOf(std::size_t crashes);
  std::list<std::uint64_t>& ListOf(const Entry& entry) {
    return m_parts.at(entry.crashes.size());
  }
  /// Removes parts until `bytes` more fit.
  void MakeRoom(std::size_t bytes, MonotonicTime now);
  bool IsExpired(std::uint64_t part, MonotonicTime now) const;

  std::unordered_map<std::uint64_t, Entry> m_entries;
  /// The parts by their number of crashes, the least recently changed first.
  std::array<std::list<std::uint64_t>, kMaxCrashesPerPart + 1> m_parts;
  std::size_t m_bytes = 0;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_CRASH_EVIDENCE_H_
