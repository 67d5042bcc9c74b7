#ifndef JASMINEHATCH_DETAIL_RELAY_RECORD_ASSEMBLY_H_
#define JASMINEHATCH_DETAIL_RELAY_RECORD_ASSEMBLY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "jasminehatch/detail/relay/record.h"
#include "jasminehatch/detail/relay/record_part.h"

namespace jasminehatch::relay {

/// @brief Puts a large record together from its parts, which are asked for one
/// after another. Any daemon that has the record can send the next part.
class RecordAssembly {
 public:
  /// @brief What was received of which record.
  struct Progress {
    std::uint64_t offset = 0;    ///< Of the record.
    std::uint64_t received = 0;  ///< Bytes of its value.

    friend bool operator==(const Progress&, const Progress&) = default;
  };

  /// @brief Adds a part. Parts out of order, of an older record, or received
  /// before are ignored; a part of a newer record drops the older one.
  /// @return the record, once it is complete and its digest is right. A record
  /// with another digest is dropped, and counts in `Corrupted`.
  std::optional<Record> Add(const RecordPart& part);

  Progress Received() const { return {m_head.offset, m_value.size()}; }

  /// @return the number of complete records with a wrong digest in a row
  std::size_t Corrupted() const { return m_corrupted; }

  /// Drops what was received, since the record arrived in another way.
  void Clear();

 private:
  bool IsSameRecord(const RecordPart& part) const;

  RecordPart m_head;  ///< Without bytes.
  std::string m_value;
  std::size_t m_corrupted = 0;
};

}  // namespace jasminehatch::relay

#endif  // JASMINEHATCH_DETAIL_RELAY_RECORD_ASSEMBLY_H_
