#ifndef JASMINEHATCH_DETAIL_BASE_STRONG_ID_H_
#define JASMINEHATCH_DETAIL_BASE_STRONG_ID_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace jasminehatch {

/// @brief An integer identifier that does not convert to identifiers of other
/// kinds.
/// @tparam Tag distinguishes the kinds
template <typename Tag, typename Value = std::uint64_t>
struct StrongId {
  Value value{};

  friend auto operator<=>(const StrongId&, const StrongId&) = default;
};

/// A request, unique in one daemon process.
using RequestId = StrongId<struct RequestIdTag>;

/// One attempt to run a request on one upstream, unique in one daemon process.
using AttemptId = StrongId<struct AttemptIdTag>;

/// One append to the log, unique in one daemon process.
using AppendId = StrongId<struct AppendIdTag>;

/// One handoff of log entries by another daemon, unique in one daemon process.
using HandoffId = StrongId<struct HandoffIdTag>;

/// Index of an upstream in the upstream table of one daemon process.
using UpstreamId = StrongId<struct UpstreamIdTag, std::uint32_t>;

/// Index of a tier of a cache store, which has its own link, in the store table
/// of one daemon process.
using StoreId = StrongId<struct StoreIdTag, std::uint32_t>;

}  // namespace jasminehatch

template <typename Tag, typename Value>
struct std::hash<jasminehatch::StrongId<Tag, Value>> {
  std::size_t operator()(
      const jasminehatch::StrongId<Tag, Value>& id) const noexcept {
    return std::hash<Value>{}(id.value);
  }
};

#endif  // JASMINEHATCH_DETAIL_BASE_STRONG_ID_H_
