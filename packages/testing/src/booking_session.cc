#include "jasminehatch/detail/testing/booking_session.h"

#include <array>
#include <optional>
#include <utility>

namespace jasminehatch::testing {
namespace {

constexpr WallTime kWallTime = WallTime(std::chrono::hours(500'000));

template <typename Enum, std::size_t N>
std::string NameOf(const std::array<std::string_view, N>& names, Enum value) {
  return std::string(names.at(static_cast<std::size_t>(value)));
}

std::string Text(std::uint64_t number) {
  return std::to_string(number);
}

std::string Text(const booking::IntentId& id) {
  return id.daemon + "/" + Text(id.incarnation) + "/" + Text(id.sequence);
}

std::string Text(booking::AppendResult result) {
  static constexpr std::array<std::string_view, 3> kNames{
      "appended", "not_appended", "unknown"};
  return NameOf(kNames, result);
}

std::string Text(booking::DispatchResult result) {
  static constexpr std::array<std::string_view, 3> kNames{"answered", "not_run",
                                                          "unknown"};
  return NameOf(kNames, result);
}

/// Writes one line for each kind of entry, event and effect.
struct Formatter {
  std::string operator()(const booking::Intent& entry) const {
    return "intent " + Text(entry.id) + " key " + entry.key.key;
  }
  std::string operator()(const booking::Outcome& entry) const {
    return "outcome " + Text(entry.id) + " key " + entry.key.key + " status " +
           Text(static_cast<std::uint64_t>(entry.status)) + " '" + entry.body +
           "'";
  }
  std::string operator()(const booking::Void& entry) const {
    return "void " + Text(entry.id) + " key " + entry.key.key;
  }

  std::string operator()(const booking::BookingArrived& event) const {
    return "request " + Text(event.request.value) + " arrived: key " +
           event.key.key;
  }
  std::string operator()(const booking::BookingQueried& event) const {
    return "request " + Text(event.request.value) + " asks for the stage of " +
           event.key.key;
  }
  std::string operator()(const booking::BookingCancelled& event) const {
    return "request " + Text(event.request.value) + " was cancelled";
  }
  std::string operator()(const booking::AppendEnded& event) const {
    return "append " + Text(event.append.value) +
           " ended: " + Text(event.result);
  }
  std::string operator()(const booking::RecordsRead& event) const {
    return "read: " + List(event.entries);
  }
  std::string operator()(const booking::DispatchEnded& event) const {
    return "dispatch of " + Text(event.intent) + " try " +
           Text(event.earlier_dispatches) + " ended: " + Text(event.result);
  }
  std::string operator()(const booking::ProcessGone& event) const {
    return "process gone: " + event.daemon + "/" + Text(event.incarnation);
  }
  std::string operator()(const booking::ZoneChanged& event) const {
    std::string text = "live in " + event.zone + ":";
    for (const std::string& daemon : event.daemons) {
      text += " " + daemon;
    }
    return text;
  }
  std::string operator()(const booking::HandoffReceived& event) const {
    return "handed over " + Text(event.handoff.value) + ": " +
           List(event.entries);
  }
  std::string operator()(const booking::ShutdownRequested& /*event*/) const {
    return "shutdown requested";
  }
  std::string operator()(const booking::TimerFired& /*event*/) const {
    return "timer";
  }

  std::string operator()(const booking::AppendEntries& effect) const {
    return "append " + Text(effect.append.value) +
           (effect.via.empty() ? "" : " via " + effect.via) + ": " +
           List(effect.entries);
  }
  std::string operator()(const booking::ReplyToHandoff& effect) const {
    return "answer hand-over " + Text(effect.handoff.value) + ": " +
           Text(effect.result);
  }
  std::string operator()(const booking::Dispatch& effect) const {
    return "dispatch " + Text(effect.intent) + " key " + effect.key.key +
           " try " + Text(effect.earlier_dispatches);
  }
  std::string operator()(const booking::RespondToBooking& effect) const {
    return "answer request " + Text(effect.request.value) + ": status " +
           Text(static_cast<std::uint64_t>(effect.status)) + " '" +
           effect.body + "'" + (effect.replayed ? " replayed" : "");
  }
  std::string operator()(const booking::RefuseBooking& effect) const {
    return "refuse request " + Text(effect.request.value) + ": " +
           std::string(Describe(effect.code).name) + " " +
           std::string(ToString(effect.verdict));
  }
  std::string operator()(const booking::RespondWithStage& effect) const {
    return "stage for request " + Text(effect.request.value) + ": " +
           std::string(ToString(effect.stage));
  }
  std::string operator()(const CountEvent& effect) const {
    return "count " + std::string(ToString(effect.counter));
  }

  std::string List(const std::vector<booking::LogEntry>& entries) const {
    std::string text;
    for (const booking::LogEntry& entry : entries) {
      text += (text.empty() ? "" : "; ") + std::visit(*this, entry);
    }
    return text;
  }
};

}  // namespace

std::string Describe(const booking::Effect& effect) {
  return std::visit(Formatter(), effect);
}

std::string Describe(const booking::Event& event) {
  return std::visit(Formatter(), event);
}

void BookingSession::Start(const std::string& daemon,
                           std::uint64_t incarnation) {
  booking::State state;
  state.daemon = daemon;
  state.incarnation = incarnation;
  m_states.insert_or_assign(daemon, std::move(state));
}

void BookingSession::Note(std::string_view text) {
  m_text += "# " + std::string(text) + "\n";
}

booking::Effects BookingSession::Send(const std::string& daemon,
                                      const booking::Event& event) {
  const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
      m_now.time_since_epoch());
  m_text += std::to_string(at.count()) + "ms " + daemon + " < " +
            Describe(event) + "\n";
  booking::Effects effects = Step(event, m_now, m_states.at(daemon));
  for (const booking::Effect& effect : effects) {
    m_text += "    > " + Describe(effect) + "\n";
  }
  return effects;
}

booking::Effects BookingSession::Arrive(const std::string& daemon,
                                        std::uint64_t request,
                                        std::uint8_t body) {
  booking::BookingArrived event;
  event.request = RequestId{request};
  event.key = {"workspace", "k1"};
  event.key_time = kWallTime;
  event.wall_now = kWallTime;
  event.body_digest.bytes[0] = body;
  event.service = "orders";
  return Send(daemon, event);
}

booking::Effects BookingSession::Read(const std::string& daemon,
                                      std::vector<booking::LogEntry> entries) {
  return Send(daemon, booking::RecordsRead{std::move(entries), kWallTime});
}

std::vector<booking::LogEntry> EntriesOf(const booking::Effects& effects) {
  for (const booking::Effect& effect : effects) {
    if (const auto* append = std::get_if<booking::AppendEntries>(&effect)) {
      return append->entries;
    }
  }
  throw StateError(492, "no append among the effects");
}

}  // namespace jasminehatch::testing
