#ifndef JASMINEHATCH_DETAIL_SERVING_COLD_UPSTREAMS_H_
#define JASMINEHATCH_DETAIL_SERVING_COLD_UPSTREAMS_H_

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/routing/cold_use.h"

namespace jasminehatch::serving {

struct StepContext;
struct UpstreamView;

/// @brief Decides when upstreams are cold, and limits the requests to them.
class ColdUpstreams {
 public:
  explicit ColdUpstreams(StepContext& context) : m_context(context) {}

  /// Records that the configuration added the upstream.
  void OnAdded(UpstreamView& view) { PresumeCold(view, "added"); }

  /// Records that the upstream could not be reached.
  void OnUnreachable(UpstreamView& view) { PresumeCold(view, "unreachable"); }

  /// Records that another process of the upstream reported.
  void OnRestarted(UpstreamView& view);

  /// Records a response or a report of the upstream. If it was added or could
  /// not be reached before, its warm-up starts now.
  void OnContact(UpstreamView& view);

  /// @return whether it may get a request, as far as its warm-up is concerned
  bool MayStart(const UpstreamView& view) const;

  /// Records an attempt, which counts also if it fails.
  void RecordStart(const UpstreamView& view);

  /// Sets a timer for when a cold upstream may get a request, if it may not
  /// now.
  void SetRoomTimer(UpstreamView& view);

  /// @param serving upstreams that serve a request
  /// @param ahead number of requests that are served before it
  /// @return when the request is expected to start, or nothing unless all of
  /// the upstreams are cold
  std::optional<MonotonicTime> ExpectedStart(
      std::span<const UpstreamId> serving,
      std::size_t ahead) const;

 private:
  std::optional<ColdUse> UseOf(const UpstreamView& view) const;
  void PresumeCold(UpstreamView& view, std::string_view cause);

  StepContext& m_context;
};

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_COLD_UPSTREAMS_H_
