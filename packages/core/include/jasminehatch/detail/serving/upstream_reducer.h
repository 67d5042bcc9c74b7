#ifndef JASMINEHATCH_DETAIL_SERVING_UPSTREAM_REDUCER_H_
#define JASMINEHATCH_DETAIL_SERVING_UPSTREAM_REDUCER_H_

#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/serving/event.h"

namespace jasminehatch::serving {

class ColdUpstreams;
class CrashTracker;
class Dispatcher;
struct StepContext;
struct UpstreamView;

/// @brief Handles the events of upstreams: updates their views and the prefix
/// index.
class UpstreamReducer {
 public:
  UpstreamReducer(StepContext& context,
                  Dispatcher& dispatcher,
                  CrashTracker& crashes,
                  ColdUpstreams& cold_upstreams)
      : m_context(context),
        m_dispatcher(dispatcher),
        m_crashes(crashes),
        m_cold_upstreams(cold_upstreams) {}

  void Apply(const UpstreamsConfigured& event);
  void Apply(const LoadReported& event);
  void Apply(const UpstreamUnreachable& event);
  void Apply(const UpstreamLeaving& event);
  void Apply(const CacheChanged& event);
  void Apply(const CacheListed& event);

  /// Handles a cache listing that did not arrive in time.
  void OnResyncOverdue(UpstreamId upstream);

 private:
  UpstreamView& Configure(const UpstreamSpec& spec);
  void IndexModels();
  void MarkLeaving(UpstreamView& view);
  void OnRestarted(UpstreamView& view, const LoadReported& event);
  void ClearCache(UpstreamView& view);
  void RequestListing(UpstreamView& view);
  void EndResync(UpstreamView& view);

  StepContext& m_context;
  Dispatcher& m_dispatcher;
  CrashTracker& m_crashes;
  ColdUpstreams& m_cold_upstreams;
};

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_UPSTREAM_REDUCER_H_
