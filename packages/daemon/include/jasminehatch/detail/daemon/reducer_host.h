#ifndef JASMINEHATCH_DETAIL_DAEMON_REDUCER_HOST_H_
#define JASMINEHATCH_DETAIL_DAEMON_REDUCER_HOST_H_

#include <asio/steady_timer.hpp>
#include <deque>
#include <functional>

#include "jasminehatch/detail/daemon/event_sink.h"
#include "jasminehatch/detail/reducer/effect.h"
#include "jasminehatch/detail/reducer/state.h"

namespace jasminehatch {
class Clock;
}

namespace jasminehatch::daemon {

/// @brief Owns the state, runs the reducer on posted events and arms its timer.
class ReducerHost final : public EventSink {
 public:
  ReducerHost(asio::io_context& loop, const Clock& clock)
      : m_clock(clock), m_timer(loop) {}

  /// Sets the function that executes effects; required before the first event.
  void SetExecutor(std::function<void(const Effect&)> executor) {
    m_executor = std::move(executor);
  }

  void Post(decltype(Event::body) event) override;

  State& MutableState() { return m_state; }
  const State& CurrentState() const { return m_state; }

 private:
  void ArmTimer();

  const Clock& m_clock;
  State m_state;
  std::function<void(const Effect&)> m_executor;
  std::deque<decltype(Event::body)> m_queue;
  bool m_running = false;
  asio::steady_timer m_timer;
  std::optional<MonotonicTime> m_timer_at;
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_DAEMON_REDUCER_HOST_H_
