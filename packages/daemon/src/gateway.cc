#include "jasminehatch/detail/daemon/gateway.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "jasminehatch/detail/base/clock.h"
#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/detail/configuration/configuration.h"
#include "jasminehatch/detail/daemon/caller_table.h"
#include "jasminehatch/detail/daemon/event_sink.h"
#include "jasminehatch/detail/daemon/format_request_id.h"
#include "jasminehatch/detail/daemon/idempotency_key.h"
#include "jasminehatch/detail/daemon/refusal_response.h"
#include "jasminehatch/detail/hash/block_keys.h"
#include "jasminehatch/detail/hash/sha256.h"
#include "jasminehatch/detail/http/response_writer.h"
#include "jasminehatch/detail/settings/daemon_settings.h"
#include "jasminehatch/telemetry.h"

namespace jasminehatch::daemon {
namespace {

/// Bytes per token; an estimate for routing until the engine reports the count.
constexpr std::size_t kBytesPerToken = 4;
constexpr std::int64_t kMaxDeadlineMs = 24LL * 3600 * 1000;

std::string_view BearerKey(const net::HttpHeaders& headers) {
  static constexpr std::string_view kScheme = "Bearer ";
  const std::string_view value = net::FindHeader(headers, "Authorization");
  return value.substr(0, kScheme.size()) == kScheme
             ? value.substr(kScheme.size())
             : std::string_view{};
}

/// @throw CodecError 260 when the header is present but not a number of
/// milliseconds
std::optional<MonotonicTime> ReadDeadline(const net::HttpHeaders& headers,
                                          MonotonicTime now) {
  const std::string_view text = net::FindHeader(headers, "X-Deadline-Ms");
  if (text.empty()) {
    return std::nullopt;
  }
  std::int64_t milliseconds = 0;
  const auto [rest, error] =
      std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  if (error != std::errc{} || rest != text.data() + text.size() ||
      milliseconds < 1 || milliseconds > kMaxDeadlineMs) {
    throw CodecError(260,
                     "X-Deadline-Ms: must be a whole number of milliseconds "
                     "from 1 to 86400000");
  }
  return now + std::chrono::milliseconds(milliseconds);
}

/// Headers that change the meaning of a request, so that a duplicate would be
/// ambiguous.
constexpr std::array<std::string_view, 4> kUniqueHeaders{
    "Authorization", "Idempotency-Key", "X-Deadline-Ms", "Content-Type"};

}  // namespace

const Gateway::Route Gateway::kRoutes[] = {
    {"POST", "/v1/chat/completions", false, &Gateway::OnChatCompletion},
    {"POST", "/v1/completions", false, &Gateway::OnCompletion},
    {"GET", "/v1/models", false, &Gateway::OnModels},
    {"GET", "/v1/bookings/", true, &Gateway::OnBookingStage},
    {"", "/services/", true, &Gateway::OnService},
};

Gateway::Gateway(Context context)
    : m_context(std::move(context)), m_random(m_context.incarnation) {}

void Gateway::Refuse(const IncomingRequest& incoming,
                     RefusalCode code,
                     std::string_view detail) {
  m_context.metrics.CountRefusal(code);
  SendRefusal(*incoming.writer, code, Verdict::kNotRun, detail,
              incoming.request_id);
}

void Gateway::OnRequest(net::HttpRequest request, Writer writer) {
  m_context.metrics.CountRequest();
  IncomingRequest incoming{std::move(request), std::move(writer),
                           RequestId{m_next_request_id++}, "", nullptr};
  incoming.request_id = FormatRequestId(m_context.settings.name,
                                        m_context.incarnation, incoming.id);
  const net::HttpRequest& received = incoming.request;
  if (received.body.size() > m_context.settings.body_limit) {
    return Refuse(incoming, RefusalCode::kBodyTooLarge,
                  "the body is larger than " +
                      std::to_string(m_context.settings.body_limit) + " bytes");
  }
  for (const std::string_view name : kUniqueHeaders) {
    if (net::CountHeader(received.headers, name) > 1) {
      return Refuse(incoming, RefusalCode::kMalformedRequest,
                    "duplicate header " + std::string(name));
    }
  }
  const auto route = std::find_if(
      std::begin(kRoutes), std::end(kRoutes), [&](const Route& candidate) {
        const bool path_matches =
            candidate.is_prefix
                ? received.path.compare(0, candidate.path.size(),
                                        candidate.path) == 0
                : received.path == candidate.path;
        return path_matches && (candidate.method.empty() ||
                                candidate.method == received.method);
      });
  if (route == std::end(kRoutes)) {
    return Refuse(incoming, RefusalCode::kUnknownRoute,
                  "no route for " + received.method + " on this path");
  }
  if (m_context.configuration().workspaces.empty()) {
    // Without a configuration no key is known. A 401 would make callers with a
    // valid key give up.
    return Refuse(incoming, RefusalCode::kConfigurationStale,
                  "the daemon has no configuration yet");
  }
  incoming.workspace =
      m_context.configuration().Authenticate(BearerKey(received.headers));
  if (incoming.workspace == nullptr) {
    return Refuse(incoming, RefusalCode::kUnauthorized,
                  "send a workspace key: Authorization: Bearer <key>");
  }
  try {
    (this->*route->handler)(incoming);
  } catch (const CodecError& error) {
    Refuse(incoming, RefusalCode::kMalformedRequest, error.what());
  }
}

Caller Gateway::MakeCaller(const IncomingRequest& incoming) const {
  Caller caller;
  caller.request_id = incoming.request_id;
  caller.workspace = incoming.workspace->name;
  caller.writer = incoming.writer;
  caller.arrived_at = m_context.clock.Now();
  return caller;
}

void Gateway::OnChatCompletion(IncomingRequest& incoming) {
  StartPrompt(incoming, true);
}

void Gateway::OnCompletion(IncomingRequest& incoming) {
  StartPrompt(incoming, false);
}

void Gateway::StartPrompt(IncomingRequest& incoming, bool chat) {
  auto completion = std::make_shared<codec::CompletionRequest>(
      codec::CompletionRequest::Parse(incoming.request.body, chat));
  const auto model = incoming.workspace->models.find(completion->model);
  if (model == incoming.workspace->models.end()) {
    return Refuse(incoming, RefusalCode::kUnknownModel,
                  "the workspace has no model of this name");
  }
  if (!completion->weight_version.empty() &&
      completion->weight_version != model->second) {
    return Refuse(incoming, RefusalCode::kVersionNotAllowed,
                  "the workspace may not use this weight version");
  }
  Caller caller = MakeCaller(incoming);
  serving::RequestArrived event;
  event.request = incoming.id;
  event.workspace = incoming.workspace->name;
  event.model = completion->model;
  event.weight_version = model->second;
  event.priority = completion->priority;
  event.keys = codec::ComputeBlockKeys(
      event.workspace, event.model, event.weight_version, completion->prompt);
  event.prompt_tokens = static_cast<std::uint32_t>(
      completion->prompt.size() / kBytesPerToken + 1);
  event.max_output_tokens = completion->max_tokens;
  event.deadline = ReadDeadline(incoming.request.headers, caller.arrived_at);
  event.fingerprint =
      codec::ComputeDigest({event.workspace, completion->prompt});
  event.random = m_random();
  caller.kind = Caller::Kind::kPrompt;
  caller.weight_version = event.weight_version;
  for (const BlockKey& key : event.keys) {
    caller.cache_keys.push_back(key.ToHex());
  }
  caller.format = {completion->chat,
                   (chat ? "chatcmpl-" : "cmpl-") + incoming.request_id,
                   completion->model,
                   std::chrono::duration_cast<std::chrono::seconds>(
                       m_context.clock.WallNow().time_since_epoch())
                       .count()};
  caller.completion = std::move(completion);
  m_context.callers.Add(incoming.id, std::move(caller));
  incoming.writer->SetClosedCallback([this, id = incoming.id] {
    m_context.callers.Remove(id);
    m_context.sink.Post(serving::Event{serving::RequestCancelled{id}});
  });
  m_context.sink.Post(serving::Event{std::move(event)});
}

void Gateway::OnModels(IncomingRequest& incoming) {
  nlohmann::json models = nlohmann::json::array();
  for (const auto& [name, version] : incoming.workspace->models) {
    models.push_back({{"id", name},
                      {"object", "model"},
                      {"owned_by", incoming.workspace->name},
                      {"weight_version", version}});
  }
  incoming.writer->Send(
      200,
      {{"Content-Type", "application/json"},
       {"X-Request-Id", incoming.request_id}},
      nlohmann::json{{"object", "list"}, {"data", std::move(models)}}.dump());
}

void Gateway::OnService(IncomingRequest& incoming) {
  static constexpr std::string_view kPrefix = "/services/";
  const std::string rest = incoming.request.path.substr(kPrefix.size());
  const std::size_t slash = rest.find('/');
  const std::string service = rest.substr(0, slash);
  const std::string path =
      slash == std::string::npos ? "/" : rest.substr(slash);
  if (!incoming.workspace->services.contains(service)) {
    return Refuse(incoming, RefusalCode::kUnknownRoute,
                  "the workspace has no service of this name");
  }
  static constexpr std::array<std::string_view, 4> kIdempotent{"GET", "HEAD",
                                                               "PUT", "DELETE"};
  if (incoming.request.method == "POST") {
    StartBooking(incoming, service, path);
  } else if (std::find(kIdempotent.begin(), kIdempotent.end(),
                       incoming.request.method) != kIdempotent.end()) {
    StartIdempotentCall(incoming, service, path);
  } else {
    Refuse(incoming, RefusalCode::kUnknownRoute,
           "services accept GET, HEAD, PUT, DELETE and POST");
  }
}

void Gateway::StartBooking(IncomingRequest& incoming,
                           std::string service,
                           std::string path) {
  const std::string_view key =
      net::FindHeader(incoming.request.headers, "Idempotency-Key");
  if (key.empty()) {
    return Refuse(incoming, RefusalCode::kMissingIdempotencyKey,
                  "send Idempotency-Key: <unix seconds>-<unique>, or a UUID of "
                  "version 7, and use the same key for a resend");
  }
  const auto key_time = ParseKeyTime(key);
  if (!key_time) {
    return Refuse(incoming, RefusalCode::kMalformedIdempotencyKey,
                  "Idempotency-Key must be <unix seconds>-<unique> or a UUID "
                  "of version 7, at most 128 characters");
  }
  booking::BookingArrived event;
  event.request = incoming.id;
  event.key = {incoming.workspace->name, std::string(key)};
  event.key_time = *key_time;
  event.body_digest =
      codec::ComputeDigest({service, path, incoming.request.body});
  event.service = std::move(service);
  event.path = std::move(path);
  const std::string_view content_type =
      net::FindHeader(incoming.request.headers, "Content-Type");
  event.content_type = content_type.empty() ? "application/octet-stream"
                                            : std::string(content_type);
  event.body = std::move(incoming.request.body);
  event.wall_now = m_context.clock.WallNow();
  event.deadline =
      ReadDeadline(incoming.request.headers, m_context.clock.Now());
  Caller caller = MakeCaller(incoming);
  caller.kind = Caller::Kind::kBooking;
  m_context.callers.Add(incoming.id, std::move(caller));
  incoming.writer->SetClosedCallback([this, id = incoming.id] {
    m_context.callers.Remove(id);
    m_context.sink.Post(booking::Event{booking::BookingCancelled{id}});
  });
  m_context.sink.Post(booking::Event{std::move(event)});
}

void Gateway::StartIdempotentCall(IncomingRequest& incoming,
                                  const std::string& service,
                                  std::string path) {
  Caller caller = MakeCaller(incoming);
  serving::RequestArrived event;
  event.request = incoming.id;
  event.workspace = incoming.workspace->name;
  // The model of a plain service's upstream is `service:` and the service's
  // name.
  event.model = "service:" + service;
  event.deadline = ReadDeadline(incoming.request.headers, caller.arrived_at);
  event.fingerprint = codec::ComputeDigest(
      {event.workspace, service, path, incoming.request.body});
  event.random = m_random();
  caller.kind = Caller::Kind::kIdempotentCall;
  caller.service_request = std::move(incoming.request);
  caller.service_path = std::move(path);
  m_context.callers.Add(incoming.id, std::move(caller));
  incoming.writer->SetClosedCallback([this, id = incoming.id] {
    m_context.callers.Remove(id);
    m_context.sink.Post(serving::Event{serving::RequestCancelled{id}});
  });
  m_context.sink.Post(serving::Event{std::move(event)});
}

void Gateway::OnBookingStage(IncomingRequest& incoming) {
  static constexpr std::string_view kPrefix = "/v1/bookings/";
  const std::string key = incoming.request.path.substr(kPrefix.size());
  const auto key_time = ParseKeyTime(key);
  if (!key_time) {
    return Refuse(incoming, RefusalCode::kMalformedIdempotencyKey,
                  "the path must end with a key of the form <unix "
                  "seconds>-<unique> or a UUID of version 7");
  }
  Caller caller = MakeCaller(incoming);
  caller.kind = Caller::Kind::kBookingStage;
  m_context.callers.Add(incoming.id, std::move(caller));
  m_context.sink.Post(
      booking::Event{booking::BookingQueried{incoming.id,
                                             {incoming.workspace->name, key},
                                             *key_time,
                                             m_context.clock.WallNow()}});
}

}  // namespace jasminehatch::daemon
