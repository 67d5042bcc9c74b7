#include "jasminehatch/detail/testing/fake_upstreams.h"

#include <array>
#include <iterator>

namespace jasminehatch::testing {
namespace {

using namespace serving;
using std::chrono::milliseconds;

constexpr std::uint8_t kEngineCount = 3;
constexpr std::uint8_t kServiceCount = 2;
constexpr const char* kModel = "m";
constexpr const char* kService = "service:s";

std::string Version(std::uint8_t number) {
  return number % 2 == 0 ? "v1" : "v2";
}

Digest DigestOf(std::uint8_t kind, std::uint8_t number) {
  Digest digest;
  digest.bytes[0] = number;
  digest.bytes[1] = kind;
  return digest;
}

}  // namespace

FakeUpstreams::FakeUpstreams(ServingSession& session,
                             const std::optional<WarmUpSpec>& warm_up)
    : m_session(session) {
  for (std::uint8_t i = 0; i < kEngineCount + kServiceCount; ++i) {
    const bool engine = i < kEngineCount;
    Upstream upstream;
    upstream.spec.name = (engine ? "engine-" : "service-") + std::to_string(i);
    upstream.spec.model = engine ? kModel : kService;
    // Two of the engines hold the first version.
    upstream.loaded_version =
        engine ? Version(i == kEngineCount - 1 ? 1 : 0) : "";
    upstream.spec.weight_version = upstream.loaded_version;
    upstream.spec.max_in_flight = 2;
    upstream.spec.warm_up = warm_up;
    m_upstreams.push_back(upstream);
  }
  SendConfiguration();
}

void FakeUpstreams::SendConfiguration() {
  UpstreamsConfigured event;
  for (const Upstream& upstream : m_upstreams) {
    if (upstream.configured) {
      event.upstreams.push_back(upstream.spec);
    }
  }
  m_session.Send(event);
}

void FakeUpstreams::Run(const ServingCommand& command) {
  static constexpr std::array<void (FakeUpstreams::*)(const ServingCommand&),
                              static_cast<std::size_t>(
                                  ServingCommand::Kind::kCount)>
      kHandlers{&FakeUpstreams::Arrive,      &FakeUpstreams::Chunk,
                &FakeUpstreams::WrongChunk,  &FakeUpstreams::End,
                &FakeUpstreams::Cancel,      &FakeUpstreams::Report,
                &FakeUpstreams::Unreachable, &FakeUpstreams::Restart,
                &FakeUpstreams::Leave,       &FakeUpstreams::Configure,
                &FakeUpstreams::Cache,       &FakeUpstreams::ReceiveQuarantine,
                &FakeUpstreams::Advance};
  (this->*kHandlers.at(static_cast<std::size_t>(command.kind)))(command);
}

void FakeUpstreams::Arrive(const ServingCommand& command) {
  RequestArrived event;
  event.request = RequestId{m_next_request++};
  event.workspace = "w" + std::to_string(command.a % 3);
  event.priority = static_cast<Priority>(command.b % kPriorityCount);
  event.prompt_tokens = 100U * (command.c % 50 + 1);
  event.random = command.a * 7919U + command.b * 131U + command.c;
  event.fingerprint = DigestOf(1, command.c % 8);
  if (command.a % 5 == 4) {
    event.model = kService;
  } else {
    event.model = kModel;
    event.weight_version = Version(command.b % 4 == 3 ? 1 : 0);
    event.keys = {DigestOf(2, command.c % 4)};
  }
  if (command.c % 6 == 5) {
    event.deadline = m_session.Now() + milliseconds(20 * (command.b + 1));
  }
  m_session.Send(event);
}

std::optional<FakeUpstreams::Running> FakeUpstreams::PickRunning(
    std::uint8_t number) const {
  const auto& running = m_session.Checker().RunningAttempts();
  if (running.empty()) {
    return std::nullopt;
  }
  return *std::next(running.begin(),
                    number % static_cast<std::ptrdiff_t>(running.size()));
}

std::uint32_t FakeUpstreams::NextPosition(const Running& running) const {
  return m_session.State().requests.at(running.second.request).next_position;
}

void FakeUpstreams::Chunk(const ServingCommand& command) {
  const auto running = PickRunning(command.a);
  if (!running) {
    return;
  }
  const RequestId request = running->second.request;
  const std::uint32_t position = NextPosition(*running);
  m_session.Send(AttemptChunk{request, running->first, position,
                              ServingChecker::ResponseText(request, position)});
}

void FakeUpstreams::WrongChunk(const ServingCommand& command) {
  const auto running = PickRunning(command.a);
  if (!running) {
    return;
  }
  AttemptChunk chunk{running->second.request, running->first,
                     NextPosition(*running), "wrong"};
  switch (command.b % 4) {
    case 0:  // Late: from an attempt that ended.
      if (m_past_attempts.empty()) {
        return;
      }
      chunk.request =
          m_past_attempts[command.c % m_past_attempts.size()].second.request;
      chunk.attempt = m_past_attempts[command.c % m_past_attempts.size()].first;
      if (m_session.Checker().RunningAttempts().contains(chunk.attempt)) {
        return;
      }
      break;
    case 1: {  // Attempt of another request.
      const auto other = PickRunning(command.c);
      if (other->first == running->first) {
        return;
      }
      chunk.attempt = other->first;
      break;
    }
    case 2:  // Repeated.
      if (chunk.position == 0) {
        return;
      }
      --chunk.position;
      break;
    default:  // After a gap.
      ++chunk.position;
      m_past_attempts.push_back(*running);
      break;
  }
  m_session.Send(chunk);
}

void FakeUpstreams::End(const ServingCommand& command) {
  const auto running = PickRunning(command.a);
  if (!running) {
    return;
  }
  static constexpr std::array kResults{
      AttemptResult::kComplete,       AttemptResult::kComplete,
      AttemptResult::kBroken,         AttemptResult::kNotSent,
      AttemptResult::kRejectedNotRun, AttemptResult::kTimedOut,
      AttemptResult::kBroken,         AttemptResult::kInvalidRequest};
  AttemptEnded event{running->second.request, running->first,
                     kResults.at(command.b % kResults.size()), "fake",
                     std::nullopt};
  if (event.result == AttemptResult::kRejectedNotRun && command.c % 2 == 0) {
    event.retry_after = milliseconds(100 * (command.c % 16));
  }
  m_past_attempts.push_back(*running);
  m_session.Send(event);
}

void FakeUpstreams::Cancel(const ServingCommand& command) {
  m_session.Send(RequestCancelled{RequestId{command.a % m_next_request}});
}

UpstreamId FakeUpstreams::PickEngine(std::uint8_t number) const {
  return UpstreamId{static_cast<std::uint32_t>(number % kEngineCount)};
}

void FakeUpstreams::Report(const ServingCommand& command) {
  const UpstreamId id = PickEngine(command.a);
  Upstream& upstream = m_upstreams[id.value];
  if (command.c % 8 == 7) {
    upstream.loaded_version = Version(command.b);
  }
  LoadReported event;
  event.upstream = id;
  event.age = milliseconds(command.b % 50);
  event.running = command.c % 4;
  event.slots = 2;
  event.incarnation = upstream.incarnation;
  event.weight_version = upstream.loaded_version;
  event.draining = command.c == 255;
  event.loading = command.c % 16 == 9;
  m_session.Send(event);
}

void FakeUpstreams::Unreachable(const ServingCommand& command) {
  m_session.Send(UpstreamUnreachable{PickEngine(command.a)});
}

void FakeUpstreams::Restart(const ServingCommand& command) {
  Upstream& upstream = m_upstreams[PickEngine(command.a).value];
  ++upstream.incarnation;
  upstream.cache_sequence = 0;
  Report({ServingCommand::Kind::kReport, command.a, 0, 0});
}

void FakeUpstreams::Leave(const ServingCommand& command) {
  m_session.Send(UpstreamLeaving{
      UpstreamId{command.a % (kEngineCount + kServiceCount + 0U)}});
}

void FakeUpstreams::Configure(const ServingCommand& command) {
  Upstream& upstream = m_upstreams[command.a % m_upstreams.size()];
  if (command.b % 2 == 0 || upstream.loaded_version.empty()) {
    upstream.configured = !upstream.configured;
  } else {
    upstream.spec.weight_version = Version(command.c);
  }
  SendConfiguration();
}

void FakeUpstreams::Cache(const ServingCommand& command) {
  const UpstreamId id = PickEngine(command.a);
  Upstream& upstream = m_upstreams[id.value];
  if (command.c % 4 == 3) {
    m_session.Send(
        CacheListed{id, upstream.cache_sequence, {DigestOf(2, command.b % 4)}});
    return;
  }
  upstream.cache_sequence += command.c % 8 == 0 ? 2 : 1;
  m_session.Send(
      CacheChanged{id,
                   {{upstream.cache_sequence, DigestOf(2, command.b % 4),
                     command.b % 3 != 0}}});
}

void FakeUpstreams::ReceiveQuarantine(const ServingCommand& command) {
  m_session.Send(QuarantineReceived{DigestOf(1, command.a % 8),
                                    milliseconds(command.b * 10)});
}

void FakeUpstreams::Advance(const ServingCommand& command) {
  m_session.Advance(
      milliseconds(command.a % 4 == 0 ? command.b * 20 : command.b % 20));
}

}  // namespace jasminehatch::testing
