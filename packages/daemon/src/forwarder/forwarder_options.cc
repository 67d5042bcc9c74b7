#include "forwarder_options.h"

#include <algorithm>
#include <chrono>
#include <string_view>

#include "jasminehatch/codec.h"
#include "jasminehatch/net.h"
#include "jasminehatch/platform.h"

namespace jasminehatch::daemon {
namespace {

using std::chrono::milliseconds;

/// Longest wait of a configuration read. The platform's store responds at once
/// when a record is written.
constexpr milliseconds kConfigurationLongPollTime{8000};

/// Pause between reads of the registry, as a fraction of `drain_limit`, the
/// maximum time for which a leaving upstream still gets new requests. Each
/// upstream writes to the registry about once a second, so a read for each
/// record would cost too many calls.
constexpr double kRegistryPauseFraction = 0.35;
/// The pause in a large fleet, where the calls of all daemons add up.
constexpr double kLargeFleetRegistryPauseFraction = 0.55;

/// In a zone that relays the registry, the pause of its reader, and the age of
/// what a follower knows from which it reads by itself.
constexpr double kReaderRegistryPauseFraction = 0.3;
constexpr double kMaxRelayedRegistryAgeFraction = 0.55;

/// `Options::max_registry_age`. Above the age that a daemon's knowledge of the
/// registry has while the store can be read, which is 0.55 plus the time of two
/// reads, also after a read that failed once and was tried again after 250 ms.
constexpr double kMaxRegistryAgeFraction = 0.8;

/// Maximum age of a freshness proof as a fraction of `revoke_limit`, the
/// maximum time for which a revoked API key is still accepted. The limit
/// applies to the time at which a caller sends a request, which is before its
/// admission, so the rest only has to cover clock errors.
constexpr double kProofLimitFraction = 0.85;

/// Time before `version_limit` from which only upstreams with the published
/// weight version are used. From `version_limit` after the publication, no
/// request may begin on older weights, and it begins with its first token: it
/// waits in the queue of the upstream before, or the upstream is silent.
constexpr milliseconds kMaxBeginDelay{2000};

/// Smallest share of `version_limit` for which older weights are used, for
/// settings in which `kMaxBeginDelay` would take most of it.
constexpr double kMinVersionLimitFraction = 0.5;

/// Fraction of `contact_limit` for which a weight version that was found at the
/// start, and that no upstream has, is not required. The rest covers the first
/// read of the records and a retry of it.
constexpr double kContactLimitFraction = 0.75;

/// @return a share of a time limit
milliseconds Share(milliseconds limit, double fraction) {
  return std::chrono::duration_cast<milliseconds>(limit * fraction);
}

}  // namespace

forwarding::Options MakeForwardingOptions(
    const codec::ForwarderSettings& settings) {
  forwarding::Options options;
  options.zone = settings.zone;
  const auto scale = [](milliseconds time, double factor) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(time) * factor);
  };
  options.max_proof_age = scale(settings.revoke_limit, kProofLimitFraction);
  options.version_hard_limit = std::max<Duration>(
      settings.version_limit - kMaxBeginDelay,
      scale(settings.version_limit, kMinVersionLimitFraction));
  options.found_version_limit =
      scale(settings.contact_limit, kContactLimitFraction);
  options.max_registry_age =
      scale(settings.drain_limit, kMaxRegistryAgeFraction);
  options.retry_ratio = settings.retry_ratio;
  options.retry_slack = settings.retry_slack;
  options.retry_window = settings.retry_window;
  options.prompt_placement = settings.prompt_placement;
  options.use_cache_stores = settings.use_cache_stores;
  options.limit_admission = settings.limit_admission;
  options.zone_regions = settings.zone_regions;
  if (!settings.region.empty()) {
    options.zone_regions.emplace(settings.zone, settings.region);
  }

  options.daemon = settings.name;
  options.warm_up_factor = settings.warm_up_factor;
  options.warm_up_slack = settings.warm_up_slack;
  return options;
}

shedding::Options MakeSheddingOptions(
    const codec::ForwarderSettings& settings) {
  const std::size_t memory =
      settings.memory != 0 ? settings.memory : net::SystemMemoryBytes();
  return shedding::Options::For(memory, net::DescriptorLimit());
}

TopicFollower::Options MakeConfigurationTopicOptions(
    const codec::ForwarderSettings& settings) {
  TopicFollower::Options options;
  options.topic = platform::kOperatorTopic;
  options.max_wait = kConfigurationLongPollTime;
  options.max_relayed_age = std::chrono::duration_cast<milliseconds>(
      OperatorRecordLimit(settings) * kFollowerProofRenewFraction);
  options.notable_outage = kRegistryOutageThreshold;
  options.is_renewal = [](std::string_view before, std::string_view after) {
    return before == after;
  };
  return options;
}

Duration OperatorRecordLimit(const codec::ForwarderSettings& settings) {
  const milliseconds limit =
      settings.evacuate_limit == milliseconds::zero()
          ? settings.revoke_limit
          : std::min(settings.revoke_limit, settings.evacuate_limit);
  return Share(limit, kProofLimitFraction);
}

TopicFollower::Options MakeRegistryTopicOptions(
    const codec::ForwarderSettings& settings) {
  TopicFollower::Options options;
  options.topic = platform::kUpstreamTopic;
  options.pause = Share(settings.drain_limit, kRegistryPauseFraction);
  options.reader_pause =
      Share(settings.drain_limit, kReaderRegistryPauseFraction);
  options.max_relayed_age =
      Share(settings.drain_limit, kMaxRelayedRegistryAgeFraction);
  options.notable_outage = kRegistryOutageThreshold;
  options.is_renewal = &platform::IsUpstreamRenewal;
  return options;
}

milliseconds RegistryPause(const codec::ForwarderSettings& settings,
                           std::size_t daemons) {
  return Share(settings.drain_limit, daemons > kLargeFleetSize
                                         ? kLargeFleetRegistryPauseFraction
                                         : kRegistryPauseFraction);
}

}  // namespace jasminehatch::daemon
