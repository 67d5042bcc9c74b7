#ifndef JASMINEHATCH_DETAIL_FORWARDER_PEER_GOSSIP_H_
#define JASMINEHATCH_DETAIL_FORWARDER_PEER_GOSSIP_H_

#include <array>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "jasminehatch/detail/base/log_position.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/forwarder/crash_report_queue.h"
#include "jasminehatch/detail/forwarder/gossip_peers.h"
#include "jasminehatch/detail/json/gossip_message.h"

namespace asio {
class io_context;
}

namespace jasminehatch {
class Clock;
}

namespace jasminehatch::platform {
class StoreClient;
}

namespace jasminehatch::telemetry {
class DecisionLog;
}

namespace jasminehatch::daemon {

class ForwardingHost;

/// @brief Exchanges load reports, weight changes, ages of published weights,
/// crash reports and freshness proofs with other daemons over UDP.
///
/// Daemons find each other in a topic of the platform's store. No guarantee
/// depends on the delivery of a single message: what must not be missed is
/// repeated.
class PeerGossip {
 public:
  struct Options {
    std::string daemon;
    std::string zone;
    std::string address;  ///< `ip:port` for UDP.
    std::uint64_t incarnation = 0;
    /// `ip:port` that other daemons send to; empty for `address`.
    std::string advertised_address;
    double capacity = 1;  ///< Relative processing capacity of this VM.
    /// `ip:port` at which this daemon accepts forwarded requests; empty if it
    /// does not.
    std::string forwarding_address = {};
  };

  /// Handles a datagram that is no gossip message. Its first byte tells its
  /// kind.
  using DatagramHandler = std::function<void(std::string_view bytes)>;

  /// @brief Knowledge that the operators had written no record at or after
  /// `end` at the time `confirmed_at`. A proof of one epoch of the store says
  /// nothing of another.
  struct FreshnessProof {
    LogPosition end;
    MonotonicTime confirmed_at{};
  };

  /// Returns this daemon's own proof; called for each message.
  using ProofSource = std::function<std::optional<FreshnessProof>()>;
  /// Handles a peer's proof, whose time is on this daemon's clock.
  using ProofHandler = std::function<void(const FreshnessProof& proof)>;

  /// @throw TransportError 301 when the address cannot be bound
  PeerGossip(asio::io_context& loop,
             const Clock& clock,
             platform::StoreClient& store,
             ForwardingHost& host,
             telemetry::DecisionLog& log,
             const Options& options);

  void Start();

  void ShareFreshnessProofs(ProofSource get_own_proof,
                            ProofHandler on_peer_proof) {
    m_get_own_proof = std::move(get_own_proof);
    m_on_peer_proof = std::move(on_peer_proof);
  }

  const GossipPeers& Peers() const { return m_peers; }

  /// Sends a datagram to a peer; ignored for an unknown peer.
  void SendDatagram(const std::string& peer, std::string_view bytes);

  /// @param marks first bytes of the datagrams to handle
  void SetDatagramHandler(std::string marks, DatagramHandler handler) {
    m_datagram_marks = std::move(marks);
    m_on_datagram = std::move(handler);
  }

  /// Records that a peer has sent a datagram, so that it is live.
  void RecordDatagram(const std::string& peer);

  /// Sends a change of weights at once and repeats it in each message for a
  /// while.
  void Broadcast(const codec::WeightsUpdate& update);

  /// Includes a crash report in several messages. Recipients broadcast it too,
  /// so that it reaches all daemons even if few exchange messages directly.
  void Broadcast(const forwarding::CrashReport& report);

  /// Includes origins of streams in the next messages.
  void Share(std::span<const forwarding::StreamOrigin> origins);

  /// Writes this daemon's address again after a random delay, and reads those
  /// of the others: the store may have lost them.
  void RegisterAgain();

  /// Tells the peers that this daemon was asked to stop: they no longer count
  /// it as live. It goes on exchanging messages until `Stop`, since a daemon
  /// that starts meanwhile may not know of anyone else.
  void AnnounceStop();

  void Stop();

 private:
  struct PendingWeightsUpdate {
    codec::WeightsUpdate update;
    MonotonicTime until{};
  };

  struct PendingOrigin {
    forwarding::StreamOrigin origin;
    int messages_left = 0;
  };

  void Register();
  void RegisterAfter(std::chrono::milliseconds delay);
  void ReadPeers();
  void ReadPeersAfter(std::chrono::milliseconds delay);
  /// Repeats the read, and announces this daemon, if upstreams have a warm-up.
  void OnPeersRead();
  /// Reads the addresses again if upstreams have a warm-up, as soon as the
  /// configuration is known.
  void RepeatReadAfter(std::chrono::milliseconds delay);
  void Receive();
  void OnMessage(std::string_view data);
  /// Sends a message at once to a peer that has not had one since its first. A
  /// daemon that starts waits for some; in a large fleet, it is rarely among
  /// the recipients of `Send`.
  void AnswerFirstMessage(GossipPeer& peer);

  void Send();
  /// Sends a message, with what only new peers need to those.
  void SendTo(const std::vector<const GossipPeer*>& peers,
              codec::GossipMessage message);
  /// @return a message without what is sent only a limited number of times
  codec::GossipMessage MakeMessage();
  std::vector<forwarding::StreamOrigin> TakeOrigins();
  void ArmSendTimer();

  const Clock& m_clock;
  platform::StoreClient& m_store;
  ForwardingHost& m_host;
  telemetry::DecisionLog& m_log;
  Options m_options;
  asio::ip::udp::socket m_socket;
  asio::ip::udp::endpoint m_sender;
  asio::steady_timer m_send_timer;
  asio::steady_timer m_register_timer;
  std::array<char, 65536> m_buffer{};
  std::string m_datagram_marks;
  DatagramHandler m_on_datagram;
  ProofSource m_get_own_proof;
  ProofHandler m_on_peer_proof;
  GossipPeers m_peers;
  std::vector<PendingWeightsUpdate> m_weights_updates;
  CrashReportQueue m_crash_reports;
  std::deque<PendingOrigin> m_stream_origins;
  std::uint64_t m_sequence = 0;
  std::size_t m_list_repeats = 0;
  std::mt19937_64 m_random{std::random_device{}()};
  bool m_stop_announced = false;
  bool m_stopped = false;
  /// Expires when this object is destroyed.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_FORWARDER_PEER_GOSSIP_H_
