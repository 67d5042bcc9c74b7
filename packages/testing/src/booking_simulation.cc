#include "jasminehatch/detail/testing/booking_simulation.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <string_view>

namespace jasminehatch::testing {
namespace {

using namespace std::chrono_literals;
using booking::AppendResult;
using booking::DispatchResult;

constexpr WallTime kWallStart = WallTime(std::chrono::hours(500'000));
/// Only this many of the newest keys are chosen, so that resends stay likely.
constexpr std::size_t kRecentKeys = 6;
/// Time steps: within and past a batch interval of 10 ms, past an append retry
/// (250 ms), past a claim (5 s) and past a wait for an outcome (10 s).
constexpr std::array<Duration, 8> kSteps{1ms,  5ms,   11ms, 20ms,
                                         60ms, 300ms, 6s,   11s};
/// Two long steps outlast the key window of 24 hours.
constexpr Duration kLongStep = 13h;
/// Operands from here on take kLongStep.
constexpr std::uint8_t kFirstLongStep = 252;

}  // namespace

BookingSimulation::BookingSimulation(std::size_t processes,
                                     std::uint64_t seed) {
  m_processes.resize(processes);
  for (std::size_t i = 0; i < processes; ++i) {
    // Within the tolerance for clock skew between any two processes.
    m_processes[i].clock_offset =
        std::chrono::seconds((seed >> (8U * i)) % 240U);
    Restart(i);
  }
}

void BookingSimulation::Fail(const std::string& what) {
  throw StateError(491, what);
}

bool BookingSimulation::IsRunning(std::size_t process) const {
  return m_processes[process].alive && !m_processes[process].paused;
}

WallTime BookingSimulation::WallTimeOf(std::size_t process) const {
  return kWallStart + m_now.time_since_epoch() +
         m_processes[process].clock_offset;
}

void BookingSimulation::Apply(const BookingAction& action) {
  using Kind = BookingAction::Kind;
  const std::size_t process = action.a % m_processes.size();
  switch (action.kind) {
    case Kind::kArrive:
    case Kind::kArriveWithDeadline:
    case Kind::kArriveOtherBody:
      if (IsRunning(process)) {
        Send(process, ChooseKey(process, action.b),
             action.kind == Kind::kArriveOtherBody ? 2 : 1,
             action.kind == Kind::kArriveWithDeadline
                 ? std::optional<Duration>(1s)
                 : std::nullopt);
      }
      return;
    case Kind::kCancel:
      if (!m_open.empty()) {
        const RequestId id = m_open[action.a % m_open.size()];
        const Request& request = m_requests.at(id);
        const std::size_t at = request.process;
        if (IsRunning(at) && m_processes[at].start == request.start) {
          Close(id, "cancelled");
          Step(at, booking::BookingCancelled{id});
        }
      }
      return;
    case Kind::kQuery:
      if (IsRunning(process) && !m_keys.empty()) {
        const Key& key = m_keys[action.b % m_keys.size()];
        Step(process,
             booking::BookingQueried{RequestId{m_next_request++}, key.key,
                                     key.created, WallTimeOf(process)});
      }
      return;
    case Kind::kDeliver:
      return Deliver(action.a, DeliveryOutcome::kDelivered, false);
    case Kind::kLose:
      return Deliver(action.a,
                     action.b % 2 == 0 ? DeliveryOutcome::kLost
                                       : DeliveryOutcome::kReplyLost,
                     false);
    case Kind::kRefuse:
      return Deliver(action.a, DeliveryOutcome::kRefused, false);
    case Kind::kDuplicate:
      return Deliver(action.a, DeliveryOutcome::kDelivered, true);
    case Kind::kRead:
      return Read(process, 1U + action.b % 4U);
    case Kind::kTick:
      return Tick(action.a >= kFirstLongStep
                      ? kLongStep
                      : kSteps.at(action.a % kSteps.size()));
    case Kind::kPause:
      m_processes[process].paused = true;
      return;
    case Kind::kResume:
      m_processes[process].paused = false;
      return;
    case Kind::kKill:
      return Kill(process);
    case Kind::kRestart:
      Kill(process);
      return Restart(process);
    case Kind::kNotifyGone:
      return NotifyGone(process);
    case Kind::kNotifyZone:
      if (IsRunning(process)) {
        booking::ZoneChanged event{"zone-1", {}};
        for (std::size_t i = 0; i < m_processes.size(); ++i) {
          if (i == process || ((action.b >> i) & 1U) != 0) {
            event.daemons.push_back(m_processes[i].state.daemon);
          }
        }
        Step(process, event);
      }
      return;
    case Kind::kLogOutage:
      m_log.SetOutage(!m_log.HasOutage());
      return;
    case Kind::kStop:
      if (IsRunning(process)) {
        Step(process, booking::ShutdownRequested{});
      }
      return;
    case Kind::kCount:
      return;
  }
}

const BookingSimulation::Key& BookingSimulation::ChooseKey(
    std::size_t process,
    std::uint8_t operand) {
  if (m_keys.empty() || operand % 4U == 0) {
    const std::string name = "k" + std::to_string(m_keys.size());
    m_keys.push_back({{"workspace", name}, WallTimeOf(process), std::nullopt});
    return m_keys.back();
  }
  return m_keys[m_keys.size() - 1 -
                operand % std::min(m_keys.size(), kRecentKeys)];
}

BookingSimulation::Key& BookingSimulation::FindKey(const Request& request) {
  return *std::find_if(
      m_keys.rbegin(), m_keys.rend(),
      [&request](const Key& key) { return key.key == request.key; });
}

void BookingSimulation::Send(std::size_t process,
                             const Key& key,
                             std::uint8_t body,
                             std::optional<Duration> deadline) {
  booking::BookingArrived event;
  event.request = RequestId{m_next_request++};
  event.key = key.key;
  event.key_time = key.created;
  event.body_digest.bytes[0] = body;
  event.service = "orders";
  event.wall_now = WallTimeOf(process);
  if (deadline) {
    event.deadline = m_now + *deadline;
  }
  m_requests.emplace(event.request,
                     Request{event.key, process, m_processes[process].start,
                             event.deadline, body});
  m_open.push_back(event.request);
  Step(process, event);
}

bool BookingSimulation::CanReceive(const Message& message) const {
  return IsRunning(message.process) &&
         m_processes[message.process].start == message.start;
}

void BookingSimulation::Deliver(std::size_t index,
                                DeliveryOutcome outcome,
                                bool keep) {
  if (m_messages.empty()) {
    return;
  }
  index %= m_messages.size();
  const Message& chosen = m_messages[index];
  const bool in_process =
      std::holds_alternative<booking::Event>(chosen.body) ||
      std::holds_alternative<booking::Dispatch>(chosen.body);
  const Process& owner = m_processes[chosen.process];
  const bool owner_gone = !owner.alive || owner.start != chosen.start;
  if (in_process && !owner_gone && owner.paused) {
    return;
  }
  // A process executes each of its effects once.
  keep = keep && !std::holds_alternative<booking::Dispatch>(chosen.body) &&
         !std::holds_alternative<Message::SentDispatch>(chosen.body);
  Message message = chosen;
  if (!keep) {
    m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index));
  }
  if (in_process && owner_gone) {
    return;
  }
  std::visit([&](const auto& body) { DeliverBody(message, body, outcome); },
             message.body);
}

void BookingSimulation::Reply(const Message& message,
                              booking::Event event,
                              DeliveryOutcome outcome) {
  if (outcome != DeliveryOutcome::kReplyLost) {
    m_messages.push_back({message.process, message.start, std::move(event)});
    return;
  }
  // The sender's connection ends without a reply.
  if (auto* append = std::get_if<booking::AppendEnded>(&event)) {
    append->result = AppendResult::kUnknown;
  } else if (auto* dispatch = std::get_if<booking::DispatchEnded>(&event)) {
    dispatch->result = DispatchResult::kUnknown;
  }
  m_messages.push_back({message.process, message.start, std::move(event)});
}

void BookingSimulation::DeliverBody(const Message& message,
                                    const booking::AppendEntries& body,
                                    DeliveryOutcome outcome) {
  booking::AppendEnded ended{body.append, AppendResult::kAppended};
  if (outcome == DeliveryOutcome::kRefused ||
      (m_log.HasOutage() && body.via.empty())) {
    ended.result = AppendResult::kNotAppended;
  } else if (outcome == DeliveryOutcome::kLost) {
    ended.result = AppendResult::kUnknown;
  } else if (body.via.empty()) {
    m_log.Append(body.entries);
  } else {
    for (std::size_t i = 0; i < m_processes.size(); ++i) {
      if (m_processes[i].state.daemon == body.via && IsRunning(i)) {
        const HandoffId handoff{m_next_handoff++};
        m_handoffs.emplace(handoff, std::pair(message, body.append));
        Step(i, booking::HandoffReceived{handoff, body.entries});
        return;
      }
    }
    ended.result = AppendResult::kUnknown;
  }
  Reply(message, ended, outcome);
}

void BookingSimulation::DeliverBody(const Message& /*message*/,
                                    const booking::ReplyToHandoff& body,
                                    DeliveryOutcome outcome) {
  const auto handoff = m_handoffs.find(body.handoff);
  if (handoff != m_handoffs.end()) {
    const auto [sender, append] = handoff->second;
    m_handoffs.erase(handoff);
    Reply(sender, booking::AppendEnded{append, body.result}, outcome);
  }
}

void BookingSimulation::DeliverBody(const Message& message,
                                    const booking::Dispatch& body,
                                    DeliveryOutcome outcome) {
  booking::DispatchEnded ended;
  ended.intent = body.intent;
  ended.earlier_dispatches = body.earlier_dispatches;
  ended.result = DispatchResult::kNotRun;
  ended.detail = "not sent";
  if (m_now >= body.not_after || outcome == DeliveryOutcome::kRefused) {
    m_messages.push_back({message.process, message.start, ended});
    return;
  }
  m_messages.push_back(
      {message.process, message.start, Message::SentDispatch{body}});
}

void BookingSimulation::DeliverBody(const Message& message,
                                    const Message::SentDispatch& body,
                                    DeliveryOutcome outcome) {
  const booking::Dispatch& dispatch = body.dispatch;
  booking::DispatchEnded ended;
  ended.intent = dispatch.intent;
  ended.earlier_dispatches = dispatch.earlier_dispatches;
  ended.detail = "the connection broke";
  if (outcome == DeliveryOutcome::kRefused) {
    ended.result = DispatchResult::kNotRun;
    ended.detail = "refused";
  } else if (outcome != DeliveryOutcome::kLost) {
    ended.result = DispatchResult::kResponded;
    ended.status = 201;
    ended.body = m_service.Run(dispatch.key);
    Request& request = m_requests.at(dispatch.request);
    request.ran = true;
    FindKey(request).body = request.body;
    if (m_service.RunsOf(dispatch.key) > 1) {
      Fail("booking " + dispatch.key.key + " ran twice");
    }
    if (request.not_run) {
      Fail("request " + std::to_string(dispatch.request.value) +
           " was refused with not_run and ran later");
    }
  }
  Reply(message, ended, outcome);
}

void BookingSimulation::DeliverBody(const Message& message,
                                    const booking::Event& body,
                                    DeliveryOutcome outcome) {
  // An event in the queue of its own process is not lost.
  (void)outcome;
  if (CanReceive(message)) {
    Step(message.process, body);
  }
}

void BookingSimulation::Read(std::size_t process, std::size_t limit) {
  Process& reader = m_processes[process];
  if (!IsRunning(process) || reader.offset == m_log.End()) {
    return;
  }
  booking::RecordsRead event;
  event.wall_now = WallTimeOf(process);
  for (; limit > 0 && reader.offset < m_log.End(); --limit) {
    for (const booking::LogEntry& entry : m_log.At(reader.offset++)) {
      if (const auto* intent = std::get_if<booking::Intent>(&entry);
          intent != nullptr && intent->id.daemon == reader.state.daemon) {
        reader.read_back.insert(intent->id);
      }
      event.entries.push_back(entry);
    }
  }
  Step(process, event);
}

void BookingSimulation::Tick(Duration step) {
  m_now += step;
  FireTimers();
}

void BookingSimulation::FireTimers() {
  for (std::size_t i = 0; i < m_processes.size(); ++i) {
    const auto next = m_processes[i].state.NextTimer();
    if (IsRunning(i) && next && *next <= m_now) {
      Step(i, booking::TimerFired{});
    }
  }
}

void BookingSimulation::Kill(std::size_t process) {
  m_processes[process].alive = false;
}

void BookingSimulation::Restart(std::size_t process) {
  Process& started = m_processes[process];
  started.state = booking::State();
  started.state.daemon = "entry-" + std::to_string(process + 1);
  started.state.incarnation = m_next_incarnation++;
  started.start = m_next_start++;
  started.offset = 0;
  started.alive = true;
  started.paused = false;
  started.read_back.clear();
}

void BookingSimulation::NotifyGone(std::size_t process) {
  if (!IsRunning(process)) {
    return;
  }
  for (std::size_t i = 0; i < m_processes.size(); ++i) {
    const Process& other = m_processes[i];
    const std::uint64_t gone =
        other.state.incarnation - (other.alive ? 1U : 0U);
    if (i == process || gone == 0) {
      continue;
    }
    const std::string daemon = other.state.daemon;
    Step(process, booking::ProcessGone{daemon, gone});
    const booking::State& state = m_processes[process].state;
    for (const auto& [request, waiter] : state.waiters) {
      const booking::BookingIndex::Entry* entry =
          state.index.Find(waiter.arrival.key);
      if (entry != nullptr && entry->intent.id.daemon == daemon &&
          entry->intent.id.incarnation <= gone) {
        Fail("request " + std::to_string(request.value) +
             " waits for a process that is known to be gone");
      }
    }
  }
}

void BookingSimulation::Step(std::size_t process, const booking::Event& event) {
  HandleEffects(process,
                booking::Step(event, m_now, m_processes[process].state));
}

BookingSimulation::Request& BookingSimulation::Close(RequestId id,
                                                     std::string_view what) {
  Request& request = m_requests.at(id);
  if (request.closed) {
    Fail("request " + std::to_string(id.value) + " was " + std::string(what) +
         " after it had ended");
  }
  request.closed = true;
  std::erase(m_open, id);
  return request;
}

void BookingSimulation::HandleEffects(std::size_t process,
                                      const booking::Effects& effects) {
  const std::uint64_t start = m_processes[process].start;
  for (const booking::Effect& effect : effects) {
    if (const auto* append = std::get_if<booking::AppendEntries>(&effect)) {
      for (const booking::LogEntry& entry : append->entries) {
        if (const auto* intent = std::get_if<booking::Intent>(&entry)) {
          if (m_intent_sent_at.emplace(intent->id, m_now).second) {
            m_undispatched.emplace(intent->id, std::pair(process, start));
          }
        }
      }
      m_messages.push_back({process, start, *append});
    } else if (const auto* handoff =
                   std::get_if<booking::ReplyToHandoff>(&effect)) {
      m_messages.push_back({process, start, *handoff});
    } else if (const auto* dispatch = std::get_if<booking::Dispatch>(&effect)) {
      OnDispatch(process, *dispatch);
      m_undispatched.erase(dispatch->intent);
      m_messages.push_back({process, start, *dispatch});
    } else if (const auto* response =
                   std::get_if<booking::RespondToBooking>(&effect)) {
      OnResponse(*response);
    } else if (const auto* refusal =
                   std::get_if<booking::RefuseBooking>(&effect)) {
      OnRefusal(*refusal);
    }
  }
}

void BookingSimulation::OnDispatch(std::size_t process,
                                   const booking::Dispatch& dispatch) {
  const Process& owner = m_processes[process];
  const std::string name = "request " + std::to_string(dispatch.request.value);
  const Request& request = m_requests.at(dispatch.request);
  if (request.not_run) {
    Fail(name + " was refused with not_run and dispatched later");
  }
  if (dispatch.intent.daemon != owner.state.daemon ||
      dispatch.intent.incarnation != owner.state.incarnation) {
    Fail(name + " was dispatched under the intent of another process");
  }
  if (!owner.read_back.contains(dispatch.intent)) {
    Fail(name + " was dispatched before its intent was read back");
  }
  if (m_now >= m_intent_sent_at.at(dispatch.intent) +
                   owner.state.options.claim_time ||
      (request.deadline && m_now >= *request.deadline)) {
    Fail(name + " was dispatched after its claim had ended");
  }
}

void BookingSimulation::OnResponse(const booking::RespondToBooking& response) {
  ++m_responses;
  const Request& request = Close(response.request, "answered");
  Key& key = FindKey(request);
  if (!key.response_body) {
    key.response_body = response.body;
  } else if (*key.response_body != response.body) {
    Fail("booking " + request.key.key + " was answered with '" +
         *key.response_body + "' and then with '" + response.body + "'");
  }
  if (key.body != request.body) {
    Fail("request " + std::to_string(response.request.value) +
         " got the response to another body");
  }
  if (m_service.RunsOf(request.key) != 1) {
    Fail("booking " + request.key.key + " was answered and did not run once");
  }
}

void BookingSimulation::OnRefusal(const booking::RefuseBooking& refusal) {
  ++m_refusals;
  Request& request = Close(refusal.request, "refused");
  request.not_run = refusal.verdict == Verdict::kNotRun;
  if (request.not_run && request.ran) {
    Fail("request " + std::to_string(refusal.request.value) +
         " ran and was refused with not_run");
  }
}

void BookingSimulation::Settle() {
  m_log.SetOutage(false);
  for (std::size_t i = 0; i < m_processes.size(); ++i) {
    m_processes[i].paused = false;
    if (!m_processes[i].alive) {
      Restart(i);
    }
  }
  // The rounds of 20 ms together outlast batches and append retries, the rounds
  // of 6 s claims and waits for outcomes. A caller waits at most for a claim,
  // an outcome and one more claim per key and process.
  for (int round = 0; round < 64; ++round) {
    FireTimers();
    while (!m_messages.empty()) {
      Deliver(m_messages.size() - 1, DeliveryOutcome::kDelivered, false);
    }
    for (std::size_t i = 0; i < m_processes.size(); ++i) {
      Read(i, m_log.End());
    }
    m_now += round < 32 ? Duration(20ms) : Duration(6s);
  }
  CheckIdle();
  CheckNoKeyIsBlocked();
}

void BookingSimulation::CheckNoKeyIsBlocked() const {
  for (const Process& process : m_processes) {
    for (const Key& key : m_keys) {
      const booking::BookingIndex::Entry* entry =
          process.state.index.Find(key.key);
      if (entry == nullptr) {
        continue;
      }
      const auto owner = m_undispatched.find(entry->intent.id);
      if (owner != m_undispatched.end() &&
          m_processes[owner->second.first].start == owner->second.second) {
        Fail("key " + key.key.key +
             " is held by an intent that its process will not dispatch");
      }
    }
  }
}

void BookingSimulation::CheckIdle() const {
  for (const Process& process : m_processes) {
    const booking::State& state = process.state;
    const bool idle = state.claims.empty() && state.appending.empty() &&
                      state.callers.empty() && state.waiters.empty() &&
                      state.waiters_of_key.empty() && state.timers.empty() &&
                      state.appends.empty() && state.batch.empty() &&
                      state.handoffs.empty();
    if (!idle) {
      Fail(state.daemon + " is not idle after all messages have arrived");
    }
  }
  for (const RequestId id : m_open) {
    const Request& request = m_requests.at(id);
    if (m_processes[request.process].start == request.start) {
      Fail("request " + std::to_string(id.value) + " got no response");
    }
  }
}

void BookingSimulation::ResendAll() {
  Kill(0);
  Restart(0);
  Read(0, m_log.End());
  for (const Key& key : m_keys) {
    Send(0, key, 1, std::nullopt);
  }
  Settle();
}

void BookingSimulation::CheckEachRanOnce() const {
  for (const Key& key : m_keys) {
    if (m_service.RunsOf(key.key) != 1 || !key.response_body) {
      Fail("booking " + key.key.key + " ran " +
           std::to_string(m_service.RunsOf(key.key)) + " times without faults");
    }
  }
  if (m_refusals > 0 || !m_open.empty()) {
    Fail("a caller was refused without faults");
  }
}

}  // namespace jasminehatch::testing
