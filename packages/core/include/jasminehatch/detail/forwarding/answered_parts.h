#ifndef JASMINEHATCH_DETAIL_FORWARDING_ANSWERED_PARTS_H_
#define JASMINEHATCH_DETAIL_FORWARDING_ANSWERED_PARTS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::forwarding {

/// @brief When requests with a prompt part were last answered by an upstream.
///
/// Memory is bounded: of the parts, the `kGenerationSize` most recently
/// answered ones are kept, and at most as many others.
class AnsweredParts {
 public:
  void Record(std::uint64_t part, MonotonicTime now) {
    if (m_recent.size() >= kGenerationSize && !m_recent.contains(part)) {
      m_previous = std::exchange(m_recent, {});
    }
    m_recent[part] = now;
  }

  std::optional<MonotonicTime> LastAnswer(std::uint64_t part) const {
    for (const auto* generation : {&m_recent, &m_previous}) {
      const auto found = generation->find(part);
      if (found != generation->end()) {
        return found->second;
      }
    }
    return std::nullopt;
  }

  std::size_t Size() const { return m_recent.size() + m_previous.size(); }

 private:
  static constexpr std::size_t kGenerationSize = 2048;

  std::unordered_map<std::uint64_t, MonotonicTime> m_recent;
  std::unordered_map<std::uint64_t, MonotonicTime> m_previous;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_ANSWERED_PARTS_H_
