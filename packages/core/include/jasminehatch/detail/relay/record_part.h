#ifndef JASMINEHATCH_DETAIL_RELAY_RECORD_PART_H_
#define JASMINEHATCH_DETAIL_RELAY_RECORD_PART_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "jasminehatch/detail/relay/record.h"

namespace jasminehatch::relay {

/// @brief Largest value of a record that is relayed in parts, in bytes. Larger
/// records are read from the store: a follower takes a round trip per part, and
/// the reader of a large zone sends them to all others.
inline constexpr std::size_t kMaxRelayedValueBytes = std::size_t{512} << 10U;

/// @brief A piece of a record whose value does not fit into a datagram.
struct RecordPart {
  std::uint64_t offset = 0;  ///< Of the record.
  std::string key;
  std::uint64_t size = 0;    ///< Of the whole value, in bytes.
  std::uint64_t digest = 0;  ///< Of key and whole value.
  std::uint64_t begin = 0;   ///< Position of `bytes` in the value.
  std::string bytes;

  friend bool operator==(const RecordPart&, const RecordPart&) = default;
};

/// @return the digest by which a record that arrived in parts is checked. It
/// detects corruption, not forgery: daemons trust each other's datagrams.
std::uint64_t DigestOf(const Record& record);

/// @param digest of the record
/// @param begin position in the value at which the part begins
/// @param max_bytes largest number of bytes of the value
RecordPart MakePart(const Record& record,
                    std::uint64_t digest,
                    std::uint64_t begin,
                    std::size_t max_bytes);

}  // namespace jasminehatch::relay

#endif  // JASMINEHATCH_DETAIL_RELAY_RECORD_PART_H_
