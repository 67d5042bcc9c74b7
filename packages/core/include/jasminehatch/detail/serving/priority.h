#ifndef JASMINEHATCH_DETAIL_SERVING_PRIORITY_H_
#define JASMINEHATCH_DETAIL_SERVING_PRIORITY_H_

#include <cstddef>
#include <string_view>

namespace jasminehatch::serving {

/// @brief Priority classes, highest priority first.
enum class Priority { kInteractive, kStandard, kBatch, kCount };

inline constexpr std::size_t kPriorityCount =
    static_cast<std::size_t>(Priority::kCount);

/// @return `interactive`, `standard` or `batch`
std::string_view ToString(Priority priority);

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_PRIORITY_H_
