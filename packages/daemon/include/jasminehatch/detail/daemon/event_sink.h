#ifndef JASMINEHATCH_DETAIL_DAEMON_EVENT_SINK_H_
#define JASMINEHATCH_DETAIL_DAEMON_EVENT_SINK_H_

#include "jasminehatch/detail/reducer/event.h"

namespace jasminehatch::daemon {

/// @brief Receives events from I/O components. All calls are made on the loop's
/// thread.
class EventSink {
 public:
  virtual ~EventSink() = default;

  /// Queues the event for the reducer; may be called while effects are
  /// executed.
  virtual void Post(decltype(Event::body) event) = 0;
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_DAEMON_EVENT_SINK_H_
