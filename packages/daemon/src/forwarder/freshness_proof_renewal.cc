#include "freshness_proof_renewal.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <chrono>
#include <optional>

#include "forwarder_options.h"
#include "jasminehatch/detail/base/clock.h"
#include "jasminehatch/detail/forwarder/forwarding_host.h"
#include "jasminehatch/detail/forwarder/peer_gossip.h"
#include "jasminehatch/detail/forwarder/topic_follower.h"

namespace jasminehatch::daemon {
namespace {

using std::chrono::milliseconds;

/// A freshness proof is renewed at a random age: this fraction of
/// `Options::max_proof_age`, plus up to the jitter fraction. By then another
/// daemon has usually renewed its own proof and shared it.
constexpr double kProofRenewFraction = 0.21;
constexpr double kProofJitterFraction = 0.14;

/// The jitter in a large fleet, where a shared proof takes longer to reach all
/// daemons.
constexpr double kLargeFleetProofJitterFraction = 0.28;
constexpr milliseconds kProofCheckInterval{100};
constexpr milliseconds kProofRetryDelay{300};

/// Retry interval while the platform's store is unreachable; the topic follower
/// retries as well.
constexpr milliseconds kProofRetryDelayInOutage{1500};

/// Age at which the reader of a zone that relays the configuration renews its
/// freshness proof, as a fraction of `Options::max_proof_age`. Its proofs reach
/// the followers before they would renew their own.
constexpr double kReaderProofRenewFraction = 0.2;

}  // namespace

FreshnessProofRenewal::FreshnessProofRenewal(asio::io_context& loop,
                                             const Clock& clock,
                                             ForwardingHost& host,
                                             TopicFollower& configuration,
                                             Duration max_age)
    : m_clock(clock),
      m_host(host),
      m_configuration(configuration),
      m_max_age(max_age),
      m_timer(loop) {}

void FreshnessProofRenewal::Confirm(MonotonicTime sent_at) {
  m_host.Apply(forwarding::ConfigurationConfirmed{
      sent_at, m_configuration.End().value_or(LogPosition{})});
}

void FreshnessProofRenewal::ShareWith(PeerGossip& gossip) {
  m_gossip = &gossip;
  m_gossip->ShareFreshnessProofs(
      [this]() -> std::optional<PeerGossip::FreshnessProof> {
        const auto end = m_configuration.End();
        const auto& confirmed = m_host.State().confirmed_at;
        if (!end || !confirmed) {
          return std::nullopt;
        }
        return PeerGossip::FreshnessProof{*end, *confirmed};
      },
      [this](const PeerGossip::FreshnessProof& proof) {
        const auto end = m_configuration.End();
        if (end && proof.end == *end && proof.confirmed_at <= m_clock.Now()) {
          m_host.Apply(forwarding::ConfigurationConfirmed{proof.confirmed_at,
                                                          proof.end});
          m_configuration.OnPeerProof(proof.confirmed_at);
        } else if (end && proof.end > *end) {
          m_configuration.OnRecordsAnnounced(proof.end);
        }
      });
}

void FreshnessProofRenewal::Check() {
  if (IsDue()) {
    m_requested_at = m_clock.Now();
    m_configuration.ReadForProof();
    m_jitter = std::uniform_real_distribution<double>(0, 1)(m_random);
  }
  m_timer.expires_after(kProofCheckInterval);
  m_timer.async_wait([this](const asio::error_code& error) {
    if (!error) {
      Check();
    }
  });
}

bool FreshnessProofRenewal::IsDue() const {
  const forwarding::State& state = m_host.State();
  const MonotonicTime now = m_clock.Now();
  const Duration age = now - state.confirmed_at.value_or(now);
  // An evacuation may have a shorter time limit than a revoked key.
  const Duration max_age = std::min(state.options.max_proof_age, m_max_age);
  const milliseconds retry_delay =
      m_configuration.IsFailing() ? kProofRetryDelayInOutage : kProofRetryDelay;
  return age >=
             std::chrono::duration_cast<Duration>(max_age * RenewFraction()) &&
         now - m_requested_at >= retry_delay;
}

double FreshnessProofRenewal::RenewFraction() const {
  switch (m_configuration.Role()) {
    case relay::FeedRole::kReader:
      return kReaderProofRenewFraction;
    case relay::FeedRole::kFollower:
      return kFollowerProofRenewFraction;
    case relay::FeedRole::kIndependent:
      break;
  }
  const bool large =
      m_gossip && m_gossip->Peers().LiveCount() > kLargeFleetSize;
  const double max_jitter =
      large ? kLargeFleetProofJitterFraction : kProofJitterFraction;
  return kProofRenewFraction + max_jitter * m_jitter;
}

}  // namespace jasminehatch::daemon
