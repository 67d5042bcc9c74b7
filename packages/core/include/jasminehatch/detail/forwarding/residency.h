#ifndef JASMINEHATCH_DETAIL_FORWARDING_RESIDENCY_H_
#define JASMINEHATCH_DETAIL_FORWARDING_RESIDENCY_H_

namespace jasminehatch {

class AllowedZones;

}  // namespace jasminehatch

namespace jasminehatch::forwarding {

struct Request;
struct State;

/// @brief Computes where the next attempt at a request may run.
///
/// The lists of allowed regions of the request's route and workspace apply, as
/// they were when the request was admitted and as they are in the newest
/// configuration. So an attempt never goes where either forbids it.
AllowedZones AllowedZonesOf(const State& state, const Request& request);

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_RESIDENCY_H_
