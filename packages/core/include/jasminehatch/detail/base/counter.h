#ifndef JASMINEHATCH_DETAIL_BASE_COUNTER_H_
#define JASMINEHATCH_DETAIL_BASE_COUNTER_H_

#include <cstddef>
#include <string_view>

namespace jasminehatch {

/// @brief Counted decisions other than refusals, which are counted by
/// RefusalCode.
enum class Counter {
  /// Retries by the serving reducer after an attempt that was not sent.
  kRetryConnectFailed,
  /// Retries after an upstream rejected a request without running it. In the
  /// forwarding reducer, retries after any attempt that did not run, including
  /// those that were not sent.
  kRetryUpstreamRefused,
  /// Retries after a lost connection. In the forwarding reducer, retries after
  /// any attempt that may have run, including timeouts and 5xx responses.
  kRetryStreamBroken,
  /// Retries by the serving reducer after a timeout.
  kRetryTimedOut,
  kRetryAnswerGap,
  kResumeSameUpstream,
  kContinueOtherUpstream,
  kLateChunkDropped,
  kDuplicateChunkDropped,
  kForeignChunkDropped,
  kCacheEventGap,
  kCacheResync,
  kCacheResyncRepeated,
  kStaleReportDropped,
  kUpstreamRestarted,
  kUpstreamLost,
  kUpstreamPaused,
  kUpstreamLeaving,
  kQueuedRequestDisplaced,
  kRequestSuspected,
  kSuspectCleared,
  kRequestQuarantined,
  kQuarantineLearned,
  kPartQuarantined,
  kPartReleased,
  kPartProbed,
  kBookingIntentAppended,
  kBookingDispatched,
  kBookingReplayed,
  kBookingVoided,
  kBookingAppendUnknown,
  kBookingForeignIntentWon,
  kConfigStale,
  kConfigRefused,
  kConfigReadFromPeer,
  kConfigSnapshotWritten,
  kPeerSuspected,
  kPeerGone,
  kMembershipRejoined,
  kRelayPollAnswered,
  kRelayPollUnanswered,
  kRelayRoleChanged,
  kZoneEvacuated,
  kZoneEvacuationEnded,
  /// Requests refused because all upstreams that could run them are in
  /// evacuated zones.
  kRefusedInEvacuatedZone,
  /// Requests refused because no upstream that could run them is in a region
  /// that they may use.
  kRefusedOutsideRegions,
  /// Requests refused because it is not known which software version began the
  /// stream that they resume.
  kRefusedUnknownOrigin,
  kUpstreamCold,
  kWarmUpRefused,
  /// Upstreams whose address another process has taken, by this daemon's own
  /// attempts and by reports.
  kUpstreamReplaced,
  /// Upstreams that were not used because another daemon reported that they
  /// refused a connection.
  kUpstreamReportedUnreachable,
  kZoneUnreachable,
  kZoneReachable,
  /// Times at which no new connection to any upstream could be opened, and at
  /// which one could be opened again.
  kUpstreamsUnreachable,
  kUpstreamsReachable,
  /// Requests that were forwarded to another daemon, and that another daemon
  /// forwarded to this one.
  kForwardedToPeer,
  kForwardedByPeer,
  /// Times at which the platform's store came back from an older copy.
  kStoreRestored,
  kCount,
};

inline constexpr std::size_t kCounterCount =
    static_cast<std::size_t>(Counter::kCount);

/// @return the metric label of a counter, for example `retry_connect_failed`
std::string_view ToString(Counter counter);

/// @brief Effect of all reducers: increments a counter.
struct CountEvent {
  Counter counter;
};

}  // namespace jasminehatch

#endif  // JASMINEHATCH_DETAIL_BASE_COUNTER_H_
