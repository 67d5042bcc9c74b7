#include "jasminehatch/detail/relay/record_assembly.h"

#include <utility>

namespace jasminehatch::relay {

bool RecordAssembly::IsSameRecord(const RecordPart& part) const {
  return part.offset == m_head.offset && part.key == m_head.key &&
         part.size == m_head.size && part.digest == m_head.digest;
}

void RecordAssembly::Clear() {
  m_head = {};
  m_value.clear();
}

std::optional<Record> RecordAssembly::Add(const RecordPart& part) {
  if (part.size > kMaxRelayedValueBytes || part.offset < m_head.offset) {
    return std::nullopt;
  }
  if (!IsSameRecord(part)) {
    Clear();
    m_head = part;
    m_head.bytes.clear();
  }
  if (part.begin != m_value.size() ||
      part.bytes.size() > m_head.size - m_value.size()) {
    return std::nullopt;
  }
  m_value += part.bytes;
  if (m_value.size() < m_head.size) {
    return std::nullopt;
  }
  Record record{m_head.offset, m_head.key, std::move(m_value), false};
  const bool intact = DigestOf(record) == m_head.digest;
  Clear();
  m_corrupted = intact ? 0 : m_corrupted + 1;
  return intact ? std::optional(std::move(record)) : std::nullopt;
}

}  // namespace jasminehatch::relay
