#include "jasminehatch/detail/base/counter.h"

#include <array>

namespace jasminehatch {
namespace {

constexpr std::array<std::string_view, kCounterCount> kNames{
    "retry_connect_failed",
    "retry_upstream_refused",
    "retry_stream_broken",
    "retry_timed_out",
    "retry_answer_gap",
    "resume_same_upstream",
    "continue_other_upstream",
    "late_chunk_dropped",
    "duplicate_chunk_dropped",
    "foreign_chunk_dropped",
    "cache_event_gap",
    "cache_resync",
    "cache_resync_repeated",
    "stale_report_dropped",
    "upstream_restarted",
    "upstream_lost",
    "upstream_paused",
    "upstream_leaving",
    "queued_request_displaced",
    "request_suspected",
    "suspect_cleared",
    "request_quarantined",
    "quarantine_learned",
    "part_quarantined",
    "part_released",
    "part_probed",
    "booking_intent_appended",
    "booking_dispatched",
    "booking_replayed",
    "booking_voided",
    "booking_append_unknown",
    "booking_foreign_intent_won",
    "config_stale",
    "config_refused",
    "config_read_from_peer",
    "config_snapshot_written",
    "peer_suspected",
    "peer_gone",
    "membership_rejoined",
    "relay_poll_answered",
    "relay_poll_unanswered",
    "relay_role_changed",
    "zone_evacuated",
    "zone_evacuation_ended",
    "refused_in_evacuated_zone",
    "refused_outside_regions",
    "refused_unknown_origin",
    "upstream_cold",
    "warm_up_refused",
    "upstream_replaced",
    "upstream_reported_unreachable",
    "zone_unreachable",
    "zone_reachable",
    "upstreams_unreachable",
    "upstreams_reachable",
    "forwarded_to_peer",
    "forwarded_by_peer",
    "store_restored",
};
static_assert(!kNames.back().empty(), "each counter needs a name");

}  // namespace

std::string_view ToString(Counter counter) {
  return kNames.at(static_cast<std::size_t>(counter));
}

}  // namespace jasminehatch
