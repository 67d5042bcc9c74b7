#ifndef JASMINEHATCH_DETAIL_DAEMON_PEER_LINK_H_
#define JASMINEHATCH_DETAIL_DAEMON_PEER_LINK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jasminehatch/detail/booking/log_entry.h"
#include "jasminehatch/detail/membership/effect.h"
#include "jasminehatch/detail/rpc/json_rpc_server.h"

namespace jasminehatch {
struct State;
}

namespace jasminehatch::codec {
struct DaemonSettings;
}

namespace jasminehatch::net {
class HttpClient;
}

namespace jasminehatch::telemetry {
class Metrics;
}

namespace jasminehatch::daemon {

class EventSink;

/// @brief JSON-RPC client and server for the other daemons of the zone.
class PeerLink {
 public:
  /// @brief Components that the link uses; all outlive it.
  struct Context {
    const codec::DaemonSettings& settings;
    const State& state;
    EventSink& sink;
    net::HttpClient& client;
    telemetry::Metrics& metrics;
  };

  using EntriesCallback =
      std::function<void(std::vector<booking::LogEntry> entries)>;
  using Callback = std::function<void(bool received)>;

  /// @param on_entries handles the entries that peers send by `append_entries`
  PeerLink(const Context& context, EntriesCallback on_entries);

  void Execute(const membership::Effect& effect);

  /// Requests configuration records from a peer; the result arrives as an
  /// event.
  void FetchRecords(const std::string& peer, std::uint64_t from);

  /// @brief Sends entries to a peer, which appends them to the booking stream.
  ///
  /// A peer that received the entries may still fail to append them; only
  /// reading the stream shows whether they were appended.
  void SendEntries(const std::string& peer,
                   const std::vector<booking::LogEntry>& entries,
                   Callback callback);

  /// @return the response to the body of `POST /rpc`
  std::string Handle(const std::string& request) {
    return m_server.Handle(request);
  }

  /// @return the names of the other daemons of this zone
  std::vector<std::string> PeerNames() const;

 private:
  void Apply(const membership::SendProbe& effect);
  void Apply(const membership::SendReply& effect) { m_reply = effect.message; }
  void Apply(const membership::ProcessGone& effect);
  void Apply(const CountEvent& effect);
  /// No action: the reducer forwards the other effects to other reducers.
  template <typename OtherEffect>
  void Apply(const OtherEffect& /*effect*/) {}

  /// Calls a method; the result is empty without a valid reply.
  void Call(const std::string& peer,
            std::string_view method,
            std::string_view params,
            std::function<void(std::optional<std::string> result)> callback);

  std::string HandleProbe(std::string_view params);
  std::string HandleConfigRecords(std::string_view params) const;
  std::string HandleAppendEntries(std::string_view params);

  Context m_context;
  EntriesCallback m_on_entries;
  std::map<std::string, std::string> m_urls;
  std::optional<membership::Message> m_reply;
  net::JsonRpcServer m_server;
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_DAEMON_PEER_LINK_H_
