#ifndef JASMINEHATCH_FORWARDER_FRESHNESS_PROOF_RENEWAL_H_
#define JASMINEHATCH_FORWARDER_FRESHNESS_PROOF_RENEWAL_H_

#include <asio/steady_timer.hpp>
#include <random>

#include "jasminehatch/detail/base/time.h"

namespace asio {
class io_context;
}

namespace jasminehatch {
class Clock;
}

namespace jasminehatch::daemon {

class ForwardingHost;
class PeerGossip;
class TopicFollower;

/// @brief Keeps the freshness proof of the configuration recent: takes it over
/// from reads and from peers, and reads the configuration when the proof gets
/// old.
class FreshnessProofRenewal {
 public:
  /// @param max_age maximum age of a proof that the time limits of the
  /// operators' records allow
  FreshnessProofRenewal(asio::io_context& loop,
                        const Clock& clock,
                        ForwardingHost& host,
                        TopicFollower& configuration,
                        Duration max_age);

  /// Applies the proof of a read that reached the newest record.
  /// @param sent_at when the read was sent
  void Confirm(MonotonicTime sent_at);

  /// Exchanges proofs with the peers.
  /// @param gossip must outlive this object's timer
  void ShareWith(PeerGossip& gossip);

  /// Checks from now on whether the proof needs to be renewed.
  void Start() { Check(); }

 private:
  void Check();
  /// @return whether the proof is old enough, and no read was requested lately
  bool IsDue() const;
  /// @return the age at which the proof is renewed, as a fraction of
  /// `Options::max_proof_age`
  double RenewFraction() const;

  const Clock& m_clock;
  ForwardingHost& m_host;
  TopicFollower& m_configuration;
  Duration m_max_age;
  PeerGossip* m_gossip = nullptr;  ///< Null without peers.
  asio::steady_timer m_timer;
  std::mt19937_64 m_random{std::random_device{}()};
  double m_jitter = 0;
  MonotonicTime m_requested_at{};
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_FORWARDER_FRESHNESS_PROOF_RENEWAL_H_
