#include "jasminehatch/detail/daemon/reducer_host.h"

#include <asio/io_context.hpp>
#include <utility>

#include "jasminehatch/detail/base/clock.h"
#include "jasminehatch/detail/reducer/step.h"

namespace jasminehatch::daemon {

void ReducerHost::Post(decltype(Event::body) event) {
  m_queue.push_back(std::move(event));
  if (m_running) {
    return;
  }
  m_running = true;
  while (!m_queue.empty()) {
    const Event next{m_clock.Now(), std::move(m_queue.front())};
    m_queue.pop_front();
    for (const Effect& effect : Step(next, m_state)) {
      m_executor(effect);
    }
  }
  m_running = false;
  ArmTimer();
}

void ReducerHost::ArmTimer() {
  const auto next = m_state.NextTimer();
  if (next == m_timer_at) {
    return;
  }
  m_timer_at = next;
  if (!next) {
    m_timer.cancel();
    return;
  }
  m_timer.expires_at(*next);
  m_timer.async_wait([this](const asio::error_code& error) {
    if (!error) {
      m_timer_at.reset();
      Post(TimerFired{});
    }
  });
}

}  // namespace jasminehatch::daemon
