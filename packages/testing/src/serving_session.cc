#include "jasminehatch/detail/testing/serving_session.h"

#include <variant>

#include "jasminehatch/detail/serving/step.h"
#include "jasminehatch/detail/testing/serving_text.h"

namespace jasminehatch::testing {
namespace {

/// Start of the simulated time; later than zero, so that ages can be
/// subtracted.
constexpr std::chrono::hours kStart{1};

}  // namespace

ServingSession::ServingSession(const serving::Options& options)
    : m_checker(options), m_now(kStart) {
  m_state.options = options;
}

serving::Effects ServingSession::Send(const serving::Event& event) {
  if (m_recording) {
    m_record += "[" + ToText(m_now.time_since_epoch() - kStart) + "] " +
                ToText(event) + "\n";
  }
  m_checker.OnEvent(event, m_now);
  auto effects = serving::Step(event, m_now, m_state);
  for (const serving::Effect& effect : effects) {
    if (m_recording) {
      m_record += "    " + ToText(effect) + "\n";
    }
    if (const auto* count = std::get_if<CountEvent>(&effect)) {
      ++m_counts[count->counter];
    }
    m_checker.OnEffect(effect);
  }
  m_checker.AfterStep(m_state);
  return effects;
}

void ServingSession::Advance(Duration duration) {
  const MonotonicTime end = m_now + duration;
  for (auto next = m_state.NextTimer(); next && *next <= end;
       next = m_state.NextTimer()) {
    m_now = std::max(m_now, *next);
    Send(serving::TimerFired{});
  }
  m_now = end;
}

void ServingSession::Drain() {
  Send(serving::ShutdownRequested{});
  // Each round ends all attempts; waiting requests start, are refused at the
  // end of their wait, or run out of attempts.
  for (int round = 0; round < 2000 && !m_state.requests.empty(); ++round) {
    const auto running = m_checker.RunningAttempts();
    for (const auto& [id, attempt] : running) {
      Send(serving::AttemptEnded{attempt.request, id,
                                 serving::AttemptResult::kComplete, "",
                                 std::nullopt});
    }
    Advance(std::chrono::milliseconds(running.empty() ? 5000 : 50));
  }
  m_checker.AtEnd(m_state);
}

void ServingSession::Note(std::string_view text) {
  m_record += "# " + std::string(text) + "\n";
}

std::uint64_t ServingSession::CountOf(Counter counter) const {
  const auto entry = m_counts.find(counter);
  return entry == m_counts.end() ? 0 : entry->second;
}

}  // namespace jasminehatch::testing
