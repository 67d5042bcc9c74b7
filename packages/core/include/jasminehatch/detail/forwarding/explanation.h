#ifndef JASMINEHATCH_DETAIL_FORWARDING_EXPLANATION_H_
#define JASMINEHATCH_DETAIL_FORWARDING_EXPLANATION_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/forwarding/configuration.h"
#include "jasminehatch/detail/forwarding/effect.h"
#include "jasminehatch/detail/forwarding/exclusion.h"
#include "jasminehatch/detail/forwarding/placement_reason.h"

namespace jasminehatch::forwarding {

/// @brief A prompt part and where an upstream would fetch it from.
struct PartExplanation {
  std::string id;
  std::uint32_t tokens = 0;
  /// Address of the cache store or of the preferred upstream; empty to compute
  /// the part.
  std::string fetch_from;
};

/// @brief How an upstream of the service stands in the choice. Times are
/// remaining ones or ages, and absent if they do not apply.
struct UpstreamExplanation {
  std::string id;
  std::string address;
  std::string zone;
  bool is_candidate = false;
  /// All reasons against it. A candidate has some only if
  /// `Explanation::ignores_temporary`.
  std::vector<Exclusion> exclusions;

  /// Of a candidate: load relative to the capacity, with penalties.
  double load = 0;
  /// Of a candidate for a prompt: load above which the prefix does not count.
  std::optional<double> load_limit;
  /// Of a candidate: used share of its memory, with this request.
  double memory_share = 0;
  bool lacks_memory = false;
  /// Of a candidate for a prompt: its place in the order of preference of the
  /// prefix, from 1.
  std::optional<std::size_t> prefix_rank;

  std::uint32_t slots = 0;
  std::uint32_t own_requests = 0;    ///< In flight from this daemon.
  std::uint32_t other_requests = 0;  ///< In flight from the other daemons.
  std::uint64_t own_tokens = 0;      ///< Memory that the own requests need.
  std::uint64_t other_tokens = 0;
  double reported_load = 0;  ///< Running and waiting, as it reported.
  double slowdown = 1;       ///< Duration of work relative to the usual one.
  double failure_share = 0;  ///< Moving average over the latest attempts.
  std::uint32_t consecutive_failures = 0;
  std::uint64_t weight_version = 0;  ///< Of the request's model; 0 if unknown.

  std::optional<Duration> suspended_for;
  std::optional<Duration> paused_for;           ///< After a rejection.
  std::optional<Duration> pause_requested_for;  ///< As it asked.
  std::optional<Duration> loading_for;          ///< At most.
  std::optional<Duration> cold_for;
  std::optional<Duration> cold_room_in;  ///< Until it may get a request.
  std::optional<Duration> load_age;      ///< Of `reported_load`.
  Duration entry_age{};                  ///< Since its registry entry was read.

  std::vector<PartExplanation> parts;  ///< The shared ones; of a candidate.
};

/// @brief What would happen to a request that arrives now, and why.
struct Explanation {
  std::uint64_t configuration_version = 0;
  std::optional<Duration> proof_age;  ///< Of the freshness proof.
  std::string route;                  ///< Empty if none matches.
  std::string workspace;              ///< Empty on public routes.
  int priority = 0;
  std::string service;
  /// Services of the route; the request's id decides which one it gets.
  std::vector<WeightedService> services;
  Duration time_left{};               ///< Until the final response is due.
  std::uint64_t expected_tokens = 0;  ///< Memory that the request needs.

  /// Set if it would be refused; `retry_after` without the random part.
  std::optional<RefuseRequest> refusal;
  std::optional<Duration> max_retry_after;  ///< With the largest random part.
  /// One of its prompt parts is quarantined, and chance decides whether it is
  /// let through as a probe.
  bool may_probe = false;

  std::string upstream;  ///< Chosen one; empty if it would be refused.
  PlacementReason reason = PlacementReason::kNone;
  std::string preferred;  ///< Preferred upstream of the prefix; may be empty.
  double mean_load = 0;   ///< Of the candidates.
  /// Temporarily excluded upstreams are candidates since there are no others.
  bool ignores_temporary = false;
  std::uint64_t min_weight_version = 0;      ///< Required; 0 for any.
  std::uint64_t favored_weight_version = 0;  ///< Preferred; 0 for any.
  /// Age of the oldest load report of other daemons that counts. Without one,
  /// `UpstreamExplanation::reported_load` counts.
  std::optional<Duration> peer_report_age;
  /// Upstreams of the service, candidates first; empty if the service is not
  /// known.
  std::vector<UpstreamExplanation> upstreams;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_EXPLANATION_H_
