#include "jasminehatch/detail/relay/record_part.h"

#include <algorithm>

#include "jasminehatch/detail/forwarding/stable_hash.h"

namespace jasminehatch::relay {

std::uint64_t DigestOf(const Record& record) {
  return forwarding::StableHash(record.value,
                                forwarding::StableHash(record.key));
}

RecordPart MakePart(const Record& record,
                    std::uint64_t digest,
                    std::uint64_t begin,
                    std::size_t max_bytes) {
  RecordPart part{record.offset, record.key, record.value.size(),
                  digest,        0,          {}};
  part.begin = std::min<std::uint64_t>(begin, record.value.size());
  part.bytes = record.value.substr(part.begin, max_bytes);
  return part;
}

}  // namespace jasminehatch::relay
