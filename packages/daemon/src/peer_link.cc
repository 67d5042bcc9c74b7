#include "jasminehatch/detail/daemon/peer_link.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/detail/daemon/event_sink.h"
#include "jasminehatch/detail/http/http_client.h"
#include "jasminehatch/detail/json/config_record.h"
#include "jasminehatch/detail/json/log_record.h"
#include "jasminehatch/detail/json/peer_message.h"
#include "jasminehatch/detail/json/read_integer.h"
#include "jasminehatch/detail/reducer/state.h"
#include "jasminehatch/detail/settings/daemon_settings.h"
#include "jasminehatch/telemetry.h"

namespace jasminehatch::daemon {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kCallTimeout{2000};

/// Maximum number of records in a reply, which takes about 1 MB with records of
/// 1 KB.
constexpr std::size_t kMaxRecords = 1000;

}  // namespace

PeerLink::PeerLink(const Context& context, EntriesCallback on_entries)
    : m_context(context), m_on_entries(std::move(on_entries)) {
  for (const codec::PeerSettings& peer : m_context.settings.peers) {
    if (peer.zone == m_context.settings.zone &&
        peer.name != m_context.settings.name) {
      m_urls[peer.name] = peer.url;
    }
  }
  m_server.Add("probe",
               [this](std::string_view params) { return HandleProbe(params); });
  m_server.Add("config_records", [this](std::string_view params) {
    return HandleConfigRecords(params);
  });
  m_server.Add("append_entries", [this](std::string_view params) {
    return HandleAppendEntries(params);
  });
}

std::vector<std::string> PeerLink::PeerNames() const {
  std::vector<std::string> names;
  for (const auto& [name, url] : m_urls) {
    names.push_back(name);
  }
  return names;
}

void PeerLink::Execute(const membership::Effect& effect) {
  std::visit([this](const auto& body) { Apply(body); }, effect);
}

void PeerLink::Apply(const membership::SendProbe& effect) {
  Call(effect.peer, "probe", codec::EncodeMembershipMessage(effect.message),
       [this, peer = effect.peer](const std::optional<std::string>& result) {
         if (result) {
           try {
             m_context.sink.Post(
                 membership::Event{membership::ProbeReplyReceived{
                     peer, codec::DecodeMembershipMessage(*result)}});
             return;
           } catch (const CodecError& error) {
             telemetry::LogWarning("peer_answer_invalid",
                                   {{"peer", peer}, {"detail", error.what()}});
           }
         }
         m_context.sink.Post(membership::Event{membership::ProbeFailed{peer}});
       });
}

void PeerLink::Apply(const membership::ProcessGone& effect) {
  telemetry::LogInfo("peer_gone",
                     {{"peer", effect.name},
                      {"incarnation", std::to_string(effect.incarnation)}});
}

void PeerLink::Apply(const CountEvent& effect) {
  m_context.metrics.Count(effect.counter);
}

void PeerLink::FetchRecords(const std::string& peer, std::uint64_t from) {
  Call(peer, "config_records", json{{"from", from}}.dump(),
       [this, peer](const std::optional<std::string>& result) {
         if (result) {
           try {
             auto page = codec::DecodePeerPage(*result);
             m_context.sink.Post(config::Event{config::PeerPageReceived{
                 peer, std::move(page.snapshot), std::move(page.page)}});
             return;
           } catch (const CodecError& error) {
             telemetry::LogWarning("peer_answer_invalid",
                                   {{"peer", peer}, {"detail", error.what()}});
           }
         }
         m_context.sink.Post(config::Event{config::PeerFetchFailed{peer}});
       });
}

void PeerLink::SendEntries(const std::string& peer,
                           const std::vector<booking::LogEntry>& entries,
                           Callback callback) {
  Call(peer, "append_entries",
       json{{"record", codec::EncodeBookingEntries(entries)}}.dump(),
       [callback =
            std::move(callback)](const std::optional<std::string>& result) {
         callback(result.has_value());
       });
}

void PeerLink::Call(
    const std::string& peer,
    std::string_view method,
    std::string_view params,
    std::function<void(std::optional<std::string> result)> callback) {
  net::HttpCall call;
  call.method = "POST";
  const auto url = m_urls.find(peer);
  call.url = (url == m_urls.end() ? "" : url->second) + "/rpc";
  call.headers = {{"Content-Type", "application/json"}};
  call.body = codec::EncodeRpcCall(method, params);
  call.total_timeout = kCallTimeout;
  m_context.client.Start(std::move(call), [callback = std::move(callback)](
                                              const net::HttpResult& result) {
    if (result.kind != net::HttpResult::Kind::kComplete ||
        result.status != 200) {
      callback(std::nullopt);
      return;
    }
    std::optional<std::string> decoded;
    try {
      decoded = codec::DecodeRpcResult(result.body);
    } catch (const CodecError& error) {
      telemetry::LogWarning("peer_answer_invalid", {{"detail", error.what()}});
    }
    callback(std::move(decoded));
  });
}

std::string PeerLink::HandleProbe(std::string_view params) {
  membership::Message message = codec::DecodeMembershipMessage(params);
  m_reply.reset();
  // Requests are handled on the loop, never while effects are executed, so the
  // effect `SendReply` is executed before `Post` returns.
  m_context.sink.Post(
      membership::Event{membership::ProbeReceived{std::move(message)}});
  if (!m_reply) {
    throw StateError(410, "no reply to the probe was produced");
  }
  return codec::EncodeMembershipMessage(*m_reply);
}

std::string PeerLink::HandleConfigRecords(std::string_view params) const {
  const json document = json::parse(params);
  return codec::EncodePeerPage(m_context.state.config.reader.PageFrom(
      codec::ReadInteger<std::uint64_t>(document.at("from")), kMaxRecords));
}

std::string PeerLink::HandleAppendEntries(std::string_view params) {
  const json document = json::parse(params);
  auto entries =
      codec::DecodeBookingEntries(document.at("record").get<std::string>());
  const std::size_t count = entries.size();
  m_on_entries(std::move(entries));
  return json{{"received", count}}.dump();
}

}  // namespace jasminehatch::daemon
