#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "jasminehatch/detail/forwarding/stable_hash.h"
#include "jasminehatch/detail/forwarding/stream_origin.h"
#include "reducer.h"

namespace jasminehatch::forwarding {
namespace {

/// @return whether the route leads to the service
bool LeadsTo(const Route& route, std::string_view service) {
  return std::any_of(route.services.begin(), route.services.end(),
                     [service](const WeightedService& candidate) {
                       return candidate.service == service;
                     });
}

Denial MakeDenialForUnknownOrigin(const std::string& reason) {
  return {RefusalCode::kNoUpstream,
          reason +
              ", and it is not known which software version began the "
              "stream",
          Counter::kRefusedUnknownOrigin};
}

}  // namespace

bool Reducer::KnowsSoftwareVersions() const {
  const auto known_at = m_state.registry.KnownAt();
  if (!known_at) {
    return false;
  }
  // No daemon begins streams with a version that is new to the registry within
  // this time. Streams that began later are known from the peers, as long as
  // their messages arrived all the time.
  return m_now - *known_at <= m_state.options.max_registry_age ||
         m_state.peer_contact.HasHeldSince(*known_at, m_now);
}

void Reducer::RecordRegistryGap() {
  if (m_state.registry.KnownAt() && !KnowsSoftwareVersions()) {
    m_state.registry.OnGap(m_now);
  }
}

std::optional<Denial> Reducer::FindOrigin(Request& request) const {
  if (request.last_event.empty() || !request.IsResumableStream()) {
    return std::nullopt;
  }
  const StreamOrigin* origin =
      m_state.stream_origins.Find(StableHash(request.StreamId()));
  if (origin != nullptr && LeadsTo(*request.route, origin->service)) {
    request.service = origin->service;
    request.software_version = origin->software_version;
    return std::nullopt;
  }
  const auto versions =
      m_state.upstreams.RecentSoftwareVersions(request.service, m_now);
  if (versions.size() > 1) {
    return MakeDenialForUnknownOrigin("service " + request.service + " runs " +
                                      std::to_string(versions.size()) +
                                      " software versions");
  }
  if (!KnowsSoftwareVersions()) {
    return MakeDenialForUnknownOrigin(
        "the registry was not read, and peers not heard, without interruption");
  }
  if (m_state.registry.HasGapWithin(kMaxResumeTime, m_now)) {
    return MakeDenialForUnknownOrigin(
        "entries of the registry may have come and gone unread");
  }
  if (!versions.empty()) {
    request.software_version = *versions.begin();
  }
  return std::nullopt;
}

void Reducer::RecordOrigin(Request& request) {
  if (!request.IsResumableStream()) {
    return;
  }
  if (!request.software_version) {
    request.software_version = request.attempt->software_version;
  }
  const StreamOrigin origin{StableHash(request.StreamId()), request.service,
                            *request.software_version};
  m_state.stream_origins.RecordOwn(origin, m_now);
  const auto versions =
      m_state.upstreams.RecentSoftwareVersions(request.service, m_now);
  auto origins =
      m_state.stream_origins.TakeToShare(origin, versions.size() > 1);
  if (!origins.empty()) {
    m_effects.emplace_back(ShareStreamOrigins{std::move(origins)});
  }
}

void Reducer::Apply(const StreamOriginsReceived& event) {
  for (const StreamOrigin& origin : event.origins) {
    m_state.stream_origins.RecordOfPeer(origin, m_now);
  }
}

}  // namespace jasminehatch::forwarding
