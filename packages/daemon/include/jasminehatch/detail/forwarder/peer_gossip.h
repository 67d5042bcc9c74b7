#ifndef JASMINEHATCH_DETAIL_FORWARDER_PEER_GOSSIP_H_
#define JASMINEHATCH_DETAIL_FORWARDER_PEER_GOSSIP_H_

#include <array>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "jasminehatch/detail/base/time.h"
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

/// @brief Tells other daemons over UDP what this one has in flight, which
/// weights it saw, and which engines are changing theirs.
///
/// Daemons find each other in a topic of the platform's store. What is told
/// improves decisions and is never needed for a promise, so that lost or late
/// messages do no harm.
class PeerGossip {
 public:
  struct Options {
    std::string daemon;
    std::string zone;
    std::string address;  ///< `ip:port` for UDP.
    std::uint64_t incarnation = 0;
  };

  /// @brief A proof that the operators wrote no record at or after `end`.
  struct Proof {
    std::uint64_t end = 0;
    MonotonicTime at{};
  };

  /// Asked for this daemon's own proof with each message.
  using OwnProof = std::function<std::optional<Proof>()>;
  /// Receives the proofs of others, on this daemon's clock.
  using PeerProof = std::function<void(const Proof& proof)>;

  /// @throw TransportError 301 when the address cannot be bound
  PeerGossip(asio::io_context& loop,
             const Clock& clock,
             platform::StoreClient& store,
             ForwardingHost& host,
             telemetry::DecisionLog& log,
             const Options& options);

  void Start();

  void ShareProofs(OwnProof own, PeerProof on_proof) {
    m_own_proof = std::move(own);
    m_on_proof = std::move(on_proof);
  }

  /// @return other daemons that were heard lately
  std::size_t LivePeers() const;

  /// @return how many of those come before this one, in an order that all
  /// daemons share
  std::size_t Rank() const;

  /// Tells a change of weights at once, and for a while with each message.
  void Announce(const codec::WeightsUpdate& news);

  /// Tells a crash for a while with each message.
  void Announce(const forwarding::CrashReport& report);

  void Stop();

 private:
  /// Another daemon.
  struct Peer {
    asio::ip::udp::endpoint endpoint;
    std::string zone;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;  ///< Of its newest message.
    MonotonicTime heard_at{};
    std::uint64_t sent_ms = 0;  ///< In its newest message, on its clock.
    bool heard = false;         ///< Not only read from the store.
  };

  struct PendingNews {
    codec::WeightsUpdate news;
    MonotonicTime until{};
  };

  struct PendingCrash {
    forwarding::CrashReport report;
    MonotonicTime until{};
  };

  static bool Live(const Peer& peer, MonotonicTime now);
  void Register();
  void ReadPeers();
  void AddPeer(const std::string& name,
               const std::string& address,
               const std::string& zone,
               std::uint64_t incarnation);
  void Receive();
  void OnMessage(std::string_view data);
  /// @brief Who gets the next messages.
  struct Receivers {
    std::vector<const Peer*> single;  ///< Get this daemon's own load.
    std::vector<const Peer*> whole;   ///< Get the load of its whole zone.
  };

  void Send();
  void SendTo(const std::vector<const Peer*>& peers,
              codec::GossipMessage& message);
  Receivers ChoosePeers();
  codec::GossipMessage MakeMessage();
  void Arm();

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
  OwnProof m_own_proof;
  PeerProof m_on_proof;
  std::map<std::string, Peer> m_peers;
  std::vector<PendingNews> m_news;
  std::deque<PendingCrash> m_crashes;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_turn = 0;
  std::mt19937_64 m_random{std::random_device{}()};
  bool m_stopped = false;
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_FORWARDER_PEER_GOSSIP_H_
