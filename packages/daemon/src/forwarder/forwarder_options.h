#ifndef JASMINEHATCH_FORWARDER_FORWARDER_OPTIONS_H_
#define JASMINEHATCH_FORWARDER_FORWARDER_OPTIONS_H_

#include <chrono>
#include <cstddef>

#include "jasminehatch/detail/forwarder/topic_follower.h"
#include "jasminehatch/detail/forwarding/options.h"
#include "jasminehatch/detail/shedding/options.h"

namespace jasminehatch::codec {
struct ForwarderSettings;
}

namespace jasminehatch::daemon {

/// Number of daemons above which the calls of all of them add up, and a message
/// takes longer to reach all.
inline constexpr std::size_t kLargeFleetSize = 12;

/// In a zone that relays the configuration, the age at which a follower renews
/// its freshness proof, as a fraction of `Options::max_proof_age`.
inline constexpr double kFollowerProofRenewFraction = 0.4;

/// After an outage of the registry of at least this length, a missing entry may
/// only mean that its upstream could not renew it.
inline constexpr std::chrono::milliseconds kRegistryOutageThreshold{800};

/// @return the options of the decision library
forwarding::Options MakeForwardingOptions(
    const codec::ForwarderSettings& settings);

/// @return the limits on the memory and the number of callers' connections
shedding::Options MakeSheddingOptions(const codec::ForwarderSettings& settings);

/// @return the maximum age of what is known of the operators' records, from
/// which the time limits of revoked keys and of evacuations could be missed
Duration OperatorRecordLimit(const codec::ForwarderSettings& settings);

/// @return how the topic with the configuration and weight versions is read
TopicFollower::Options MakeConfigurationTopicOptions(
    const codec::ForwarderSettings& settings);

/// @return how the topic with the upstreams is read
TopicFollower::Options MakeRegistryTopicOptions(
    const codec::ForwarderSettings& settings);

/// @return the pause between reads of the registry in a fleet of `daemons`
std::chrono::milliseconds RegistryPause(
    const codec::ForwarderSettings& settings,
    std::size_t daemons);

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_FORWARDER_FORWARDER_OPTIONS_H_
