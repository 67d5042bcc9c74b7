#ifndef JASMINEHATCH_DETAIL_RELAY_RECORD_MIRROR_H_
#define JASMINEHATCH_DETAIL_RELAY_RECORD_MIRROR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "jasminehatch/detail/relay/record.h"

namespace jasminehatch::relay {

/// @brief The newest record of each key of a topic, for daemons that have read
/// the topic up to an earlier offset.
///
/// A record that only renews its key is not relayed: most records of a registry
/// are heartbeats. It replaces the value of the record before it, with which
/// the next one is compared.
class RecordMirror {
 public:
  /// @return whether the second value of a key only renews the first
  using IsRenewal = bool (*)(std::string_view before, std::string_view after);

  /// @brief Records after an offset.
  struct Delta {
    std::vector<Record> records;  ///< In the order of their offsets.
    std::uint64_t end = 0;        ///< The records are complete up to here.
    bool more = false;            ///< Further records follow at `end`.
  };

  explicit RecordMirror(IsRenewal is_renewal) : m_is_renewal(is_renewal) {}

  /// Replaces everything by a snapshot of the topic.
  void Reset(std::span<const Record> records, std::uint64_t end);

  /// Declares that the records so far were relayed without renewals, so that
  /// the newest values of their keys are not known. The next record of each key
  /// counts as a change.
  void ExpectChanges() { m_values_known_from = m_end; }

  /// Adds the next record.
  void Add(const Record& record);

  /// Sets the offset up to which all records were added.
  void SetEnd(std::uint64_t end) { m_end = end; }

  std::uint64_t End() const { return m_end; }

  /// @param max_bytes size of keys and values after which no further record is
  /// included
  /// @return the records at or after `offset`; nothing if removals after it are
  /// not known any more
  std::optional<Delta> Since(std::uint64_t offset, std::size_t max_bytes) const;

 private:
  void ForgetOldRemovals();

  IsRenewal m_is_renewal;
  std::map<std::uint64_t, Record> m_by_offset;
  std::unordered_map<std::string, std::uint64_t> m_offsets;
  std::size_t m_removed = 0;          ///< Removals in `m_by_offset`.
  std::uint64_t m_complete_from = 0;  ///< Earlier removals are not known.
  std::uint64_t m_end = 0;
  /// Records before this offset may have had renewals that are not known.
  std::uint64_t m_values_known_from = 0;
};

}  // namespace jasminehatch::relay

#endif  // JASMINEHATCH_DETAIL_RELAY_RECORD_MIRROR_H_
