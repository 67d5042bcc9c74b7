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

/// @brief Shares this daemon's in-flight load, the weight versions that it
/// observed and the engines that are loading weights with other daemons over
/// UDP.
///
/// Daemons find each other in a topic of the platform's store. Gossip improves
/// decisions, but no guarantee depends on it, so lost or late messages are
/// harmless.
class PeerGossip {
 public:
  struct Options {
    std::string daemon;
    std::string zone;
    std::string address;  ///< `ip:port` for UDP.
    std::uint64_t incarnation = 0;
  };

  /// @brief A freshness proof: at the time `at`, the operators had written no
  /// record at or after offset `end`.
  struct Proof {
    std::uint64_t end = 0;
    MonotonicTime at{};
  };

  /// Returns this daemon's own proof; called for each message.
  using OwnProof = std::function<std::optional<Proof>()>;
  /// Handles a peer's proof, whose time is on this daemon's clock.
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

  /// @return the number of live peers
  std::size_t LivePeers() const;

  /// @return the number of live peers whose name sorts before this daemon's
  std::size_t Rank() const;

  /// Sends a change of weights at once and repeats it in each message for a
  /// while.
  void Announce(const codec::WeightsNews& news);

  /// Includes a crash in each message for a while.
  void Announce(const forwarding::CrashReport& report);

  void Stop();

 private:
  struct Peer {
    asio::ip::udp::endpoint endpoint;
    std::string zone;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;  ///< Of the newest message received.
    MonotonicTime heard_at{};
    std::uint64_t sent_ms = 0;  ///< Of the newest message, on the peer's clock.
    bool heard = false;  ///< A message was received, not only a store entry.
  };

  struct PendingNews {
    codec::WeightsNews news;
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
  /// @brief The recipients of the next messages.
  struct Receivers {
    std::vector<const Peer*> single;  ///< Receive this daemon's own load.
    std::vector<const Peer*> whole;   ///< Receive the load of the whole zone.
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
