#ifndef JASMINEHATCH_DETAIL_DAEMON_EVENT_SINK_H_
#define JASMINEHATCH_DETAIL_DAEMON_EVENT_SINK_H_

#include "jasminehatch/detail/reducer/event.h"

namespace jasminehatch::daemon {

/// @brief Receives events from I/O components. All calls are made on the loop's
/// thread.
class EventSink {
 public:
  virtual ~EventSink() = default;

  /// Applies the event to the reducer and executes the resulting effects. A
  /// call made while effects are executed only queues the event.
  virtual void Post(decltype(Event::body) event) = 0;
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_DAEMON_EVENT_SINK_H_
