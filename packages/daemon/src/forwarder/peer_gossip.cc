#include "jasminehatch/detail/forwarder/peer_gossip.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <tuple>
#include <utility>

#include "jasminehatch/codec.h"
#include "jasminehatch/detail/base/clock.h"
#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/detail/forwarder/forwarding_host.h"
#include "jasminehatch/net.h"
#include "jasminehatch/platform.h"
#include "jasminehatch/telemetry.h"
#include "while_alive.h"

namespace jasminehatch::daemon {
namespace {

using asio::ip::udp;
using std::chrono::milliseconds;
using telemetry::DecisionLog;
using telemetry::DecisionLogField;

constexpr milliseconds kSendInterval{100};

/// A daemon gets the ages of all published weights that matter, and the
/// requests that are refused, for this long after its start, since it cannot
/// learn them from the operators' records.
constexpr milliseconds kNewPeerTime{2000};

/// The ages of the versions of a model are in each message until the newest one
/// has this multiple of `Options::version_hard_limit`, for daemons that were
/// suspended or cut off when it was published.
constexpr int kYoungPublicationFactor = 2;

/// Each update of an upstream's weights is repeated for this long because
/// messages may be lost.
constexpr milliseconds kWeightsUpdateRepeatTime{1000};

/// Each origin of a stream is in this number of messages because messages may
/// be lost.
constexpr int kOriginMessages = 2;

/// Maximum number of origins that wait to be sent; the oldest are dropped.
constexpr std::size_t kMaxPendingOrigins = 8192;

constexpr milliseconds kRegisterRetryDelay{1000};

/// Maximum delay before a daemon writes its address again, so that the daemons
/// do not all write in the moment in which the store has come back.
constexpr milliseconds kMaxRegisterAgainDelay{2000};

/// Where upstreams have a warm-up, a daemon reads the addresses again at these
/// times after the read before, and sends a message to each daemon. It and
/// others that start with it then know of each other before they send requests
/// to cold upstreams.
constexpr std::array kListRepeatDelays{milliseconds(1000), milliseconds(4000)};

}  // namespace

PeerGossip::PeerGossip(asio::io_context& loop,
                       const Clock& clock,
                       platform::StoreClient& store,
                       ForwardingHost& host,
                       telemetry::DecisionLog& log,
                       const Options& options)
    : m_clock(clock),
      m_store(store),
      m_host(host),
      m_log(log),
      m_options(options),
      m_socket(loop),
      m_send_timer(loop),
      m_register_timer(loop),
      m_peers(clock, options.daemon, options.zone) {
  if (m_options.advertised_address.empty()) {
    m_options.advertised_address = m_options.address;
  }
  const auto address = net::ParseIpPort(options.address);
  if (!address) {
    throw TransportError(
        301, "'" + options.address + "' is not an address; expected ip:port");
  }
  asio::error_code error;
  const udp::endpoint endpoint(asio::ip::make_address(address->ip, error),
                               address->port);
  m_socket.open(endpoint.protocol(), error);
  m_socket.bind(endpoint, error);
  if (error) {
    throw TransportError(
        301, "cannot bind UDP " + options.address + ": " + error.message());
  }
  m_socket.non_blocking(true, error);
  m_host.Apply(forwarding::PeersExpected{});
}

void PeerGossip::Start() {
  Receive();
  ArmSendTimer();
  Register();
}

void PeerGossip::AnnounceStop() {
  m_stop_announced = true;
  Send();
}

void PeerGossip::Stop() {
  m_stopped = true;
  m_send_timer.cancel();
  m_register_timer.cancel();
  asio::error_code ignored;
  m_socket.close(ignored);
}

void PeerGossip::Register() {
  const codec::DaemonAddress own{m_options.advertised_address, m_options.zone,
                                 m_options.incarnation};
  m_store.AppendKeyed(platform::kDaemonTopic, m_options.daemon, own.Encode(),
                      [this](const platform::StoreAppendResult& outcome) {
                        if (m_stopped) {
                          return;
                        }
                        using Status = platform::StoreAppendResult::Status;
                        if (outcome.status == Status::kAppended ||
                            outcome.status == Status::kUnknown) {
                          ReadPeers();
                          return;
                        }
                        RegisterAfter(kRegisterRetryDelay);
                      });
}

void PeerGossip::RegisterAfter(milliseconds delay) {
  m_register_timer.expires_after(delay);
  m_register_timer.async_wait(
      WhileAlive(m_alive, [this](const asio::error_code& error) {
        if (!error) {
          Register();
        }
      }));
}

void PeerGossip::RegisterAgain() {
  if (!m_stopped) {
    RegisterAfter(milliseconds(std::uniform_int_distribution<std::int64_t>(
        0, kMaxRegisterAgainDelay.count())(m_random)));
  }
}

void PeerGossip::ReadPeers() {
  m_store.ReadNewest(
      platform::kDaemonTopic, [this](const platform::StorePage& page) {
        if (m_stopped) {
          return;
        }
        if (page.status != platform::StorePage::Status::kRead) {
          ReadPeersAfter(kRegisterRetryDelay);
          return;
        }
        forwarding::PeersListed listed;
        for (const platform::StoreRecord& record : page.records) {
          try {
            const auto found = codec::DaemonAddress::Decode(record.value);
            m_peers.AddOrUpdate(record.key, found.address, found.zone,
                                found.incarnation);
            if (record.key != m_options.daemon) {
              listed.peers.push_back({record.key, found.zone});
            }
          } catch (const CodecError& error) {
            const std::array fields{DecisionLogField{"daemon", record.key},
                                    DecisionLogField{"detail", error.what()}};
            m_log.Write(DecisionLog::Level::kState, "daemon_record_invalid",
                        fields);
          }
        }
        m_host.Apply(listed);
        OnPeersRead();
      });
}

void PeerGossip::ReadPeersAfter(milliseconds delay) {
  m_register_timer.expires_after(delay);
  m_register_timer.async_wait(
      WhileAlive(m_alive, [this](const asio::error_code& error) {
        if (!error) {
          ReadPeers();
        }
      }));
}

void PeerGossip::OnPeersRead() {
  if (m_list_repeats == 0) {
    // Peers answer the first message, and tell which configuration they have.
    Send();
  } else {
    SendTo(m_peers.All(), MakeMessage());
  }
  if (m_list_repeats == kListRepeatDelays.size()) {
    return;
  }
  RepeatReadAfter(kListRepeatDelays.at(m_list_repeats++));
}

void PeerGossip::RepeatReadAfter(milliseconds delay) {
  m_register_timer.expires_after(delay);
  m_register_timer.async_wait(
      WhileAlive(m_alive, [this](const asio::error_code& error) {
        if (error) {
          return;
        }
        const auto& table = m_host.State().table;
        if (!table) {
          // The configuration may be read later than the addresses.
          RepeatReadAfter(kListRepeatDelays.front());
          return;
        }
        if (table->HasWarmUp()) {
          ReadPeers();
        }
      }));
}

void PeerGossip::Receive() {
  m_socket.async_receive_from(
      asio::buffer(m_buffer), m_sender,
      WhileAlive(m_alive,
                 [this](const asio::error_code& error, std::size_t length) {
                   if (m_stopped) {
                     return;
                   }
                   // Errors report that an earlier datagram could not be
                   // delivered.
                   if (!error) {
                     OnMessage(std::string_view(m_buffer.data(), length));
                   }
                   Receive();
                 }));
}

void PeerGossip::OnMessage(std::string_view data) {
  if (!data.empty() &&
      m_datagram_marks.find(data.front()) != std::string::npos) {
    m_on_datagram(data);
    return;
  }
  codec::GossipMessage message;
  try {
    message = codec::GossipMessage::Decode(data);
  } catch (const CodecError& error) {
    const std::array fields{DecisionLogField{"detail", error.what()}};
    m_log.Write(DecisionLog::Level::kNotable, "gossip_invalid", fields);
    return;
  }
  if (message.daemon == m_options.daemon) {
    return;
  }
  m_peers.AddOrUpdate(message.daemon, message.address, message.zone,
                      message.incarnation);
  GossipPeer* peer = m_peers.Find(message.daemon);
  if (peer == nullptr || peer->incarnation != message.incarnation ||
      message.sequence <= peer->last_sequence) {
    return;
  }
  peer->last_sequence = message.sequence;
  peer->last_sent_ms = message.sent_ms;
  peer->message_received = true;
  peer->capacity = message.capacity;
  peer->stopping = message.stopping;
  AnswerFirstMessage(*peer);
  if (message.freshness_proof_age_ms) {
    m_host.Apply(forwarding::OperatorRecordsAnnounced{message.operator_end});
  }
  if (m_on_peer_proof && message.freshness_proof_age_ms &&
      message.echo_ms > 0 &&
      message.echo_incarnation == m_options.incarnation) {
    // The proof had this age when the peer sent the message. `echo_ms` is a
    // lower bound of that time on this daemon's clock: at `echo_ms`, this
    // daemon sent the newest message that the peer had received. So the proof
    // is at least as recent as the difference, however long the message was in
    // transit or queued here.
    const auto at = MonotonicTime(milliseconds(message.echo_ms)) -
                    milliseconds(*message.freshness_proof_age_ms);
    m_on_peer_proof({message.operator_end, at});
  }
  m_host.Apply(forwarding::PeerConfigurationHeard{
      message.daemon, message.configuration_version});
  m_host.Apply(forwarding::PeerHeard{message.daemon, message.zone,
                                     message.stopping,
                                     message.forwarding_address});
  m_host.Apply(forwarding::PeerLoadReceived{
      message.daemon, std::move(message.loads),
      message.covers_zone ? message.zone : std::string()});
  for (const forwarding::CrashReport& report : message.crash_reports) {
    m_host.Apply(forwarding::CrashReportReceived{report});
  }
  for (const forwarding::PublicationAge& publication : message.publications) {
    m_host.Apply(forwarding::PublicationAgeReceived{publication});
  }
  for (const forwarding::PartVerdict& verdict : message.part_verdicts) {
    m_host.Apply(forwarding::PartVerdictReceived{verdict});
  }
  if (!message.upstream_failures.empty()) {
    m_host.Apply(forwarding::UpstreamFailuresReported{
        message.daemon, std::move(message.upstream_failures)});
  }
  if (!message.stream_origins.empty()) {
    m_host.Apply(
        forwarding::StreamOriginsReceived{std::move(message.stream_origins)});
  }
  for (const codec::WeightsUpdate& update : message.weights_updates) {
    if (!update.loading) {
      m_host.Apply(forwarding::WeightsObserved{update.upstream, update.model,
                                               update.version});
    }
    m_host.Apply(forwarding::UpstreamLoading{update.upstream, update.loading});
  }
}

void PeerGossip::AnswerFirstMessage(GossipPeer& peer) {
  if (!std::exchange(peer.answered, true)) {
    SendTo({&peer}, MakeMessage());
  }
}

void PeerGossip::SendDatagram(const std::string& peer, std::string_view bytes) {
  const GossipPeer* found = m_peers.Find(peer);
  if (found != nullptr && !m_stopped) {
    asio::error_code ignored;
    m_socket.send_to(asio::buffer(bytes.data(), bytes.size()), found->endpoint,
                     0, ignored);
  }
}

void PeerGossip::RecordDatagram(const std::string& peer) {
  if (GossipPeer* found = m_peers.Find(peer)) {
    found->last_seen_at = m_clock.Now();
  }
}

void PeerGossip::Send() {
  const GossipPeers::Recipients recipients = m_peers.ChooseRecipients();
  m_host.Apply(forwarding::PeerCountsChanged{recipients.own_load_candidates,
                                             recipients.recent});
  if (recipients.own_load_peers.empty() && recipients.zone_load_peers.empty()) {
    return;
  }
  codec::GossipMessage message = MakeMessage();
  message.stream_origins = TakeOrigins();
  message.crash_reports = m_crash_reports.Take(m_clock.Now());
  SendTo(recipients.own_load_peers, message);
  if (!recipients.zone_load_peers.empty()) {
    message.loads = m_host.ZoneLoads(message.loads);
    message.covers_zone = true;
    SendTo(recipients.zone_load_peers, std::move(message));
  }
}

codec::GossipMessage PeerGossip::MakeMessage() {
  const MonotonicTime now = m_clock.Now();
  std::erase_if(m_weights_updates,
                [now](const auto& pending) { return pending.until <= now; });
  codec::GossipMessage message;
  message.daemon = m_options.daemon;
  message.address = m_options.advertised_address;
  message.zone = m_options.zone;
  message.incarnation = m_options.incarnation;
  message.capacity = m_options.capacity;
  message.stopping = m_stop_announced;
  if (const auto& table = m_host.State().table) {
    message.configuration_version = table->SourceConfiguration().version;
  }
  if (!m_host.State().reachability.IsCut()) {
    message.forwarding_address = m_options.forwarding_address;
  }
  for (const auto& [id, upstream] : m_host.State().upstreams.All()) {
    if (upstream->in_flight > 0) {
      message.loads.push_back({forwarding::FleetLoad::CompactId(id),
                               upstream->in_flight, upstream->tokens});
    }
  }
  for (const PendingWeightsUpdate& pending : m_weights_updates) {
    message.weights_updates.push_back(pending.update);
  }
  // Verdicts are in each message, so that a lost message does not matter and a
  // daemon that has restarted learns them at once.
  message.part_verdicts = m_host.State().part_suspects.Verdicts(now);
  message.upstream_failures =
      m_host.State().failure_reports.ForMessage(m_host.State().upstreams, now);
  message.sent_ms = static_cast<std::uint64_t>(
      std::chrono::floor<milliseconds>(now.time_since_epoch()).count());
  if (const auto proof = m_get_own_proof ? m_get_own_proof() : std::nullopt) {
    message.operator_end = proof->end;
    message.freshness_proof_age_ms = static_cast<std::uint64_t>(
        std::chrono::ceil<milliseconds>(now - proof->confirmed_at).count());
  }
  return message;
}

void PeerGossip::SendTo(const std::vector<const GossipPeer*>& peers,
                        codec::GossipMessage message) {
  const MonotonicTime now = m_clock.Now();
  const Duration limit = m_host.State().options.version_hard_limit;
  const forwarding::UpstreamDirectory& upstreams = m_host.State().upstreams;
  const auto all = upstreams.PublicationAges(now, limit, Duration::max());
  const auto young =
      upstreams.PublicationAges(now, limit, limit * kYoungPublicationFactor);
  const std::vector<forwarding::CrashReport> new_reports =
      message.crash_reports;
  std::vector<forwarding::CrashReport> all_reports =
      m_host.State().crashes.ReportsOnRefused(now);
  all_reports.insert(all_reports.end(), new_reports.begin(), new_reports.end());
  message.sequence = ++m_sequence;
  for (const GossipPeer* peer : peers) {
    const bool is_new = now - peer->incarnation_seen_at <= kNewPeerTime;
    message.publications = is_new ? all : young;
    message.crash_reports = is_new ? all_reports : new_reports;
    message.echo_ms = peer->last_sent_ms;
    message.echo_incarnation = peer->incarnation;
    const std::string bytes = message.Encode();
    asio::error_code ignored;
    m_socket.send_to(asio::buffer(bytes), peer->endpoint, 0, ignored);
  }
}

void PeerGossip::Broadcast(const codec::WeightsUpdate& update) {
  std::erase_if(m_weights_updates, [&](const PendingWeightsUpdate& pending) {
    return pending.update.upstream == update.upstream &&
           pending.update.model == update.model;
  });
  m_weights_updates.push_back(
      {update, m_clock.Now() + kWeightsUpdateRepeatTime});
  Send();
}

void PeerGossip::Broadcast(const forwarding::CrashReport& report) {
  m_crash_reports.Add(report, m_clock.Now());
}

void PeerGossip::Share(std::span<const forwarding::StreamOrigin> origins) {
  for (const forwarding::StreamOrigin& origin : origins) {
    m_stream_origins.push_back({origin, kOriginMessages});
  }
  while (m_stream_origins.size() > kMaxPendingOrigins) {
    m_stream_origins.pop_front();
  }
}

/// @return the origins of the next message, the oldest ones first
std::vector<forwarding::StreamOrigin> PeerGossip::TakeOrigins() {
  std::vector<forwarding::StreamOrigin> origins;
  for (PendingOrigin& pending : m_stream_origins) {
    if (origins.size() == codec::GossipMessage::kMaxStreamOrigins) {
      break;
    }
    origins.push_back(pending.origin);
    --pending.messages_left;
  }
  while (!m_stream_origins.empty() &&
         m_stream_origins.front().messages_left <= 0) {
    m_stream_origins.pop_front();
  }
  std::sort(origins.begin(), origins.end(), [](const auto& a, const auto& b) {
    return std::tie(a.service, a.software_version) <
           std::tie(b.service, b.software_version);
  });
  return origins;
}

void PeerGossip::ArmSendTimer() {
  m_send_timer.expires_after(kSendInterval);
  m_send_timer.async_wait(
      WhileAlive(m_alive, [this](const asio::error_code& error) {
        if (!error && !m_stopped) {
          Send();
          ArmSendTimer();
        }
      }));
}

}  // namespace jasminehatch::daemon
