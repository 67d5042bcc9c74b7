#ifndef JASMINEHATCH_DETAIL_FORWARDING_UPSTREAM_H_
#define JASMINEHATCH_DETAIL_FORWARDING_UPSTREAM_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/forwarding/event.h"
#include "jasminehatch/detail/forwarding/options.h"

namespace jasminehatch::forwarding {

/// @brief What this daemon knows of one upstream.
struct Upstream {
  UpstreamEntry entry;
  std::optional<MonotonicTime> removed_at;  ///< The entry is gone.
  bool loading = false;                     ///< A change of weights runs.

  /// It rejected a request as full or as changing its weights.
  std::optional<MonotonicTime> paused_until;

  std::uint32_t in_flight = 0;  ///< Attempts of this daemon.
  std::uint64_t tokens = 0;     ///< Memory that those need.
  double load_reported = 0;     ///< Running and waiting, of all daemons.
  double load_change = 0;       ///< Own attempts since the report.

  std::uint32_t failures_in_row = 0;
  std::optional<MonotonicTime> suspended_until;
  double failure_share = 0;  ///< Moving mean over the latest attempts.

  /// @return requests that it is thought to have, from what it reported
  double Load() const {
    return std::max(
        {load_reported + load_change, static_cast<double>(in_flight), 0.0});
  }

  /// @return version of the weights of `model`, or 0 when it is not known
  std::uint64_t Weights(const std::string& model) const {
    const auto found = entry.weights.find(model);
    return found == entry.weights.end() ? 0 : found->second;
  }

  void NoteSent(std::uint64_t needed_tokens) {
    tokens += needed_tokens;
    ++in_flight;
    load_change += 1;
  }
  void NoteEnded(std::uint64_t needed_tokens) {
    tokens -= std::min(tokens, needed_tokens);
    in_flight -= in_flight > 0 ? 1 : 0;
    load_change -= 1;
  }
  void NoteLoad(std::uint32_t running, std::uint32_t waiting) {
    load_reported = static_cast<double>(running) + waiting;
    load_change = 0;
  }

  /// An attempt reached the upstream and was answered.
  void NoteSuccess();

  /// The upstream failed an attempt.
  /// @param unreachable no connection could be opened
  void NoteFailure(bool unreachable, MonotonicTime now, const Options& options);
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_UPSTREAM_H_
