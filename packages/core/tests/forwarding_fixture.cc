#include "forwarding_fixture.h"

#include <utility>

// Must come last because it defines `new` as a macro.
#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

namespace jasminehatch::forwarding::test {
namespace {

Route MakeRoute(const std::string& prefix, RouteKind kind, bool prompt) {
  Route route;
  route.name = prefix;
  route.host = "front.example";
  route.path_prefix = prefix;
  route.kind = kind;
  route.timeout = std::chrono::seconds(5);
  route.first_response_target = std::chrono::milliseconds(300);
  route.priority = 1;
  route.carries_prompt = prompt;
  route.services = {{prompt ? "engine" : "desk", 1}};
  return route;
}

}  // namespace

StartAttempt OnlyStart(const Effects& effects) {
  const auto starts = EffectsOf<StartAttempt>(effects);
  UNSIGNED_LONGS_EQUAL(1, starts.size());
  return starts.front();
}

RefuseRequest OnlyRefusal(const Effects& effects) {
  const auto refusals = EffectsOf<RefuseRequest>(effects);
  UNSIGNED_LONGS_EQUAL(1, refusals.size());
  return refusals.front();
}

bool Is(RefusalCode code, const RefuseRequest& refusal) {
  return refusal.code == code;
}

ForwardingFixture::ForwardingFixture() {
  m_state.options.zone = "a";
  m_state.options.retry_slack = 80;
  Apply(ConfigurationRead{MakeConfiguration(1)});
  Confirm();
}

Configuration ForwardingFixture::MakeConfiguration(
    std::uint64_t version) const {
  Configuration configuration;
  configuration.version = version;
  configuration.has_workspaces = true;
  configuration.routes.push_back(
      MakeRoute("/once/", RouteKind::kNonIdempotent, false));
  configuration.routes.push_back(
      MakeRoute("/again/", RouteKind::kIdempotent, false));
  configuration.routes.back().attempts = 2;
  configuration.routes.push_back(
      MakeRoute("/prompt/", RouteKind::kStreaming, true));
  configuration.routes.push_back(
      MakeRoute("/resume/", RouteKind::kStreaming, true));
  configuration.routes.back().resumable = true;
  configuration.routes.back().attempts = 2;
  configuration.routes.push_back(
      MakeRoute("/open/", RouteKind::kNonIdempotent, false));
  configuration.routes.back().is_public = true;
  Service engine;
  engine.name = "engine";
  engine.engine = EngineSpec{8, 10'000, 1000, {"m"}};
  Service desk;
  desk.name = "desk";
  configuration.services = {engine, desk};
  configuration.workspaces = {{"workspace-a", {"key-a"}, false, {}},
                              {"workspace-b", {"key-b"}, true, 0}};
  return configuration;
}

Prompt ForwardingFixture::MakePrompt(std::uint32_t own_tokens) const {
  Prompt prompt;
  prompt.model = "m";
  prompt.parts = {{"common", 100}, {"document", 800}, {"own", own_tokens}};
  prompt.prompt_tokens = 900 + own_tokens;
  prompt.max_output_tokens = 90;
  return prompt;
}

RequestReceived ForwardingFixture::MakeArrival(const std::string& path,
                                               const std::string& key,
                                               Duration time_left) const {
  RequestReceived received;
  received.path = path;
  received.key = key;
  received.time_left = time_left;
  if (path.starts_with("/prompt/") || path.starts_with("/resume/")) {
    received.prompt = MakePrompt();
  }
  Identify(received);
  return received;
}

Effects ForwardingFixture::Send(const std::string& path,
                                const std::string& key,
                                Duration time_left) {
  return Receive(MakeArrival(path, key, time_left));
}

Effects ForwardingFixture::SendParts(
    const std::vector<std::string>& shared_parts,
    const std::string& path) {
  RequestReceived received;
  received.path = path;
  received.key = "key-a";
  received.fingerprint = m_next_request;
  received.prompt = MakePrompt();
  received.prompt->parts.clear();
  for (const std::string& part : shared_parts) {
    received.prompt->parts.push_back({part, 100});
  }
  received.prompt->parts.push_back(
      {"own-" + std::to_string(m_next_request), 9});
  return Receive(std::move(received));
}

void ForwardingFixture::Identify(RequestReceived& received) const {
  received.request = RequestId{m_next_request};
  received.caller_id = "request-" + std::to_string(m_next_request);
  received.host = "front.example";
}

Effects ForwardingFixture::Receive(RequestReceived received) {
  Identify(received);
  ++m_next_request;
  auto effects = Apply(received);
  RecordAttempt(effects);
  return effects;
}

Effects ForwardingFixture::Crash(bool response_begun) {
  const std::string upstream = m_upstream;
  AttemptEnded ended{NewestRequest(), m_attempt, AttemptOutcome::kBroken, "",
                     "test"};
  ended.response_begun = response_begun;
  ended.closed_by_upstream = true;
  auto effects = Apply(ended);
  RecordAttempt(effects);
  Apply(UpstreamRemoved{upstream});
  return effects;
}

Effects ForwardingFixture::End(AttemptOutcome outcome,
                               const std::string& last_event) {
  auto effects = Apply(
      AttemptEnded{NewestRequest(), m_attempt, outcome, last_event, "test"});
  RecordAttempt(effects);
  return effects;
}

void ForwardingFixture::RecordAttempt(const Effects& effects) {
  for (const StartAttempt& start : EffectsOf<StartAttempt>(effects)) {
    m_attempt = start.attempt;
    m_upstream = start.upstream;
  }
}

void ForwardingFixture::AddUpstream(const std::string& id,
                                    const std::string& service,
                                    std::uint64_t weights,
                                    const std::string& software_version) {
  UpstreamEntry entry;
  entry.id = id;
  entry.service = service;
  entry.address = "10.0.0.1:80";
  entry.zone = "a";
  entry.slots = 8;
  entry.software_version = software_version;
  if (weights > 0) {
    entry.weights["m"] = weights;
  }
  Apply(UpstreamRegistered{entry});
}

}  // namespace jasminehatch::forwarding::test
