#include "jasminehatch/detail/forwarder/peer_gossip.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <utility>

#include "jasminehatch/codec.h"
#include "jasminehatch/detail/base/clock.h"
#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/detail/forwarder/forwarding_host.h"
#include "jasminehatch/net.h"
#include "jasminehatch/platform.h"
#include "jasminehatch/telemetry.h"

namespace jasminehatch::daemon {
namespace {

using asio::ip::udp;
using std::chrono::milliseconds;
using telemetry::DecisionLog;
using telemetry::DecisionLogField;

constexpr milliseconds kSendInterval{100};

/// Most daemons that one message goes to; in a larger fleet it is a changing
/// sample of those in the own zone.
constexpr std::size_t kFanOut = 8;

/// In a large fleet, one message in this many turns goes to another zone, where
/// bytes are dear. It tells the load of the whole zone.
constexpr std::uint64_t kFarTurns = 2;

/// A daemon that was not heard for this long gets no messages.
constexpr milliseconds kPeerAge{6000};

/// A daemon that was heard within this time is thought to live.
constexpr milliseconds kHeardAge{2000};

/// News of weights are repeated for this long, since messages may be lost.
constexpr milliseconds kNewsTime{1000};

/// Crashes that one message tells, and how long each is told. Those who hear of
/// one tell it on, so that it reaches all daemons also when few hear each
/// other.
constexpr std::size_t kCrashesTold = 64;
constexpr milliseconds kCrashTime{500};

/// A daemon that was heard within this time counts as one that may have used
/// its part of the fleet's retries.
constexpr std::chrono::seconds kRecentAge{60};

constexpr milliseconds kRegisterRetry{1000};

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
      m_register_timer(loop) {
  const auto address = net::ParseIpPort(options.address);
  if (!address) {
    throw TransportError(
        301, "'" + options.address + "' is not an address; ip:port allowed");
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
}

void PeerGossip::Start() {
  Receive();
  Arm();
  Register();
}

void PeerGossip::Stop() {
  m_stopped = true;
  m_send_timer.cancel();
  m_register_timer.cancel();
  asio::error_code ignored;
  m_socket.close(ignored);
}

void PeerGossip::Register() {
  const codec::DaemonAddress own{m_options.address, m_options.zone,
                                 m_options.incarnation};
  m_store.AppendKeyed(
      platform::kDaemonTopic, m_options.daemon, own.Encode(),
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
        m_register_timer.expires_after(kRegisterRetry);
        m_register_timer.async_wait([this](const asio::error_code& error) {
          if (!error) {
            Register();
          }
        });
      });
}

void PeerGossip::ReadPeers() {
  m_store.ReadNewest(
      platform::kDaemonTopic, [this](const platform::StorePage& page) {
        if (m_stopped) {
          return;
        }
        if (page.status != platform::StorePage::Status::kRead) {
          m_register_timer.expires_after(kRegisterRetry);
          m_register_timer.async_wait([this](const asio::error_code& error) {
            if (!error) {
              ReadPeers();
            }
          });
          return;
        }
        for (const platform::StoreRecord& record : page.records) {
          try {
            const auto found = codec::DaemonAddress::Decode(record.value);
            AddPeer(record.key, found.address, found.zone, found.incarnation);
          } catch (const CodecError& error) {
            const std::array fields{DecisionLogField{"daemon", record.key},
                                    DecisionLogField{"detail", error.what()}};
            m_log.Write(DecisionLog::Level::kState, "daemon_record_invalid",
                        fields);
          }
        }
      });
}

void PeerGossip::AddPeer(const std::string& name,
                         const std::string& address,
                         const std::string& zone,
                         std::uint64_t incarnation) {
  const auto parsed = net::ParseIpPort(address);
  if (name == m_options.daemon || !parsed) {
    return;
  }
  asio::error_code error;
  const udp::endpoint endpoint(asio::ip::make_address(parsed->ip, error),
                               parsed->port);
  Peer& peer = m_peers[name];
  // A daemon whose calendar clock went back may start again with a lower
  // number; the one before is silent then.
  if (error || (incarnation < peer.incarnation && Live(peer, m_clock.Now()))) {
    return;
  }
  if (incarnation != peer.incarnation) {
    peer.sequence = 0;
    peer.sent_ms = 0;
  }
  peer.endpoint = endpoint;
  peer.zone = zone;
  peer.incarnation = incarnation;
  peer.heard_at = m_clock.Now();
}

void PeerGossip::Receive() {
  m_socket.async_receive_from(
      asio::buffer(m_buffer), m_sender,
      [this](const asio::error_code& error, std::size_t length) {
        if (m_stopped) {
          return;
        }
        // An error here reports an earlier datagram that could not be
        // delivered.
        if (!error) {
          OnMessage(std::string_view(m_buffer.data(), length));
        }
        Receive();
      });
}

void PeerGossip::OnMessage(std::string_view data) {
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
  AddPeer(message.daemon, message.address, message.zone, message.incarnation);
  const auto found = m_peers.find(message.daemon);
  if (found == m_peers.end() ||
      found->second.incarnation != message.incarnation ||
      message.sequence <= found->second.sequence) {
    return;
  }
  found->second.sequence = message.sequence;
  found->second.sent_ms = message.sent_ms;
  found->second.heard = true;
  if (m_on_proof && message.freshness_proof_age_ms && message.echo_ms > 0) {
    // The sender held the proof when it sent the message, which was after it
    // got ours. So the proof is at least as young as the echo says, however
    // long the message was on its way or waited here.
    const auto at = MonotonicTime(milliseconds(message.echo_ms)) -
                    milliseconds(*message.freshness_proof_age_ms);
    m_on_proof({message.operator_end_offset, at});
  }
  m_host.Apply(forwarding::PeerLoadReported{
      message.daemon, std::move(message.loads),
      message.covers_zone ? message.zone : std::string()});
  for (const forwarding::CrashReport& report : message.crashes) {
    m_host.Apply(forwarding::CrashReported{report});
  }
  for (const codec::WeightsUpdate& news : message.weights_updates) {
    if (!news.loading) {
      m_host.Apply(
          forwarding::WeightsObserved{news.upstream, news.model, news.version});
    }
    m_host.Apply(forwarding::UpstreamLoading{news.upstream, news.loading});
  }
}

PeerGossip::Receivers PeerGossip::ChoosePeers() {
  const MonotonicTime now = m_clock.Now();
  std::vector<const Peer*> near;
  std::vector<const Peer*> far;
  std::size_t recent = 0;
  for (const auto& [name, peer] : m_peers) {
    recent += now - peer.heard_at <= kRecentAge ? 1 : 0;
    if (now - peer.heard_at <= kPeerAge) {
      (peer.zone == m_options.zone ? near : far).push_back(&peer);
    }
  }
  if (near.size() + far.size() <= kFanOut) {
    m_host.Apply(forwarding::PeersKnown{near.size() + far.size(), recent});
    near.insert(near.end(), far.begin(), far.end());
    return {std::move(near), {}};
  }
  m_host.Apply(forwarding::PeersKnown{near.size(), recent});
  std::shuffle(near.begin(), near.end(), m_random);
  std::shuffle(far.begin(), far.end(), m_random);
  near.resize(std::min(near.size(), kFanOut - 1));
  const bool goes_far = ++m_turn % kFarTurns == 0;
  far.resize(std::min<std::size_t>(far.size(), goes_far ? 1 : 0));
  return {std::move(near), std::move(far)};
}

bool PeerGossip::Live(const Peer& peer, MonotonicTime now) {
  return peer.heard && now - peer.heard_at <= kHeardAge;
}

std::size_t PeerGossip::LivePeers() const {
  const MonotonicTime now = m_clock.Now();
  return static_cast<std::size_t>(std::count_if(
      m_peers.begin(), m_peers.end(),
      [now](const auto& entry) { return Live(entry.second, now); }));
}

std::size_t PeerGossip::Rank() const {
  const MonotonicTime now = m_clock.Now();
  return static_cast<std::size_t>(std::count_if(
      m_peers.begin(), m_peers.lower_bound(m_options.daemon),
      [now](const auto& entry) { return Live(entry.second, now); }));
}

void PeerGossip::Send() {
  const Receivers receivers = ChoosePeers();
  if (receivers.single.empty() && receivers.whole.empty()) {
    return;
  }
  codec::GossipMessage message = MakeMessage();
  SendTo(receivers.single, message);
  if (!receivers.whole.empty()) {
    message.loads = m_host.ZoneShares(message.loads);
    message.covers_zone = true;
    SendTo(receivers.whole, message);
  }
}

codec::GossipMessage PeerGossip::MakeMessage() {
  const MonotonicTime now = m_clock.Now();
  std::erase_if(m_news, [now](const auto& n) { return n.until <= now; });
  while (!m_crashes.empty() && m_crashes.front().until <= now) {
    m_crashes.pop_front();
  }
  codec::GossipMessage message;
  message.daemon = m_options.daemon;
  message.address = m_options.address;
  message.zone = m_options.zone;
  message.incarnation = m_options.incarnation;
  for (const auto& [id, upstream] : m_host.State().upstreams.All()) {
    if (upstream->in_flight > 0) {
      message.loads.push_back({forwarding::FleetLoad::NameOf(id),
                               upstream->in_flight, upstream->tokens});
    }
  }
  for (const PendingNews& pending : m_news) {
    message.weights_updates.push_back(pending.news);
  }
  for (const PendingCrash& pending : m_crashes) {
    message.crashes.push_back(pending.report);
  }
  message.sent_ms = static_cast<std::uint64_t>(
      std::chrono::floor<milliseconds>(now.time_since_epoch()).count());
  if (const auto proof = m_own_proof ? m_own_proof() : std::nullopt) {
    message.operator_end_offset = proof->end;
    message.freshness_proof_age_ms = static_cast<std::uint64_t>(
        std::chrono::ceil<milliseconds>(now - proof->at).count());
  }
  return message;
}

void PeerGossip::SendTo(const std::vector<const Peer*>& peers,
                        codec::GossipMessage& message) {
  message.sequence = ++m_sequence;
  for (const Peer* peer : peers) {
    message.echo_ms = peer->sent_ms;
    const std::string bytes = message.Encode();
    asio::error_code ignored;
    m_socket.send_to(asio::buffer(bytes), peer->endpoint, 0, ignored);
  }
}

void PeerGossip::Announce(const codec::WeightsUpdate& news) {
  std::erase_if(m_news, [&](const PendingNews& pending) {
    return pending.news.upstream == news.upstream &&
           pending.news.model == news.model;
  });
  m_news.push_back({news, m_clock.Now() + kNewsTime});
  Send();
}

void PeerGossip::Announce(const forwarding::CrashReport& report) {
  if (m_crashes.size() >= kCrashesTold) {
    m_crashes.pop_front();
  }
  m_crashes.push_back({report, m_clock.Now() + kCrashTime});
}

void PeerGossip::Arm() {
  m_send_timer.expires_after(kSendInterval);
  m_send_timer.async_wait([this](const asio::error_code& error) {
    if (!error && !m_stopped) {
      Send();
      Arm();
    }
  });
}

}  // namespace jasminehatch::daemon
