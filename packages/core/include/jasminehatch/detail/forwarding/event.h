#ifndef JASMINEHATCH_DETAIL_FORWARDING_EVENT_H_
#define JASMINEHATCH_DETAIL_FORWARDING_EVENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jasminehatch/detail/base/log_position.h"
#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/forwarding/cache_event.h"
#include "jasminehatch/detail/forwarding/configuration.h"
#include "jasminehatch/detail/forwarding/crash_suspects.h"
#include "jasminehatch/detail/forwarding/fleet_load.h"
#include "jasminehatch/detail/forwarding/options.h"
#include "jasminehatch/detail/forwarding/part_verdict.h"
#include "jasminehatch/detail/forwarding/publication_age.h"
#include "jasminehatch/detail/forwarding/stream_origin.h"
#include "jasminehatch/detail/forwarding/upstream_failure_report.h"

namespace jasminehatch::forwarding {

/// A configuration was read; ignored unless its version is newer.
struct ConfigurationRead {
  Configuration configuration;
};

/// A read that was sent at `sent_at` returned the newest configuration.
struct ConfigurationConfirmed {
  MonotonicTime sent_at{};
  LogPosition end;  ///< Position after the operators' last record.
};

/// A peer has read the operators' records up to this position.
struct OperatorRecordsAnnounced {
  LogPosition end;
};

/// This daemon exchanges messages with others; applied once, at the start.
struct PeersExpected {};

/// A peer has a configuration with this version; 0 if it has none.
struct PeerConfigurationHeard {
  std::string daemon;
  std::uint64_t version = 0;
};

/// @brief An upstream's entry in the registry.
struct UpstreamEntry {
  std::string id;
  std::string service;
  std::string address;  ///< `ip:port`.
  std::string zone;
  std::uint32_t slots = 1;
  bool draining = false;
  Duration warm_up_left{};  ///< Remaining time of slow operation after a start.
  /// Orders to load weights that the upstream accepted since its process
  /// started.
  std::uint64_t orders_accepted = 0;
  /// Start of the process; distinguishes restarts of one id.
  std::uint64_t started_at = 0;
  std::map<std::string, std::uint64_t> weights;  ///< Version by model.
  std::string software_version;  ///< Not that of its weights; may be empty.

  friend bool operator==(const UpstreamEntry&, const UpstreamEntry&) = default;
};

/// An upstream registered or updated its entry.
struct UpstreamRegistered {
  UpstreamEntry entry;
};

/// An upstream's entry was removed from the registry.
struct UpstreamRemoved {
  std::string id;
};

/// All registry entries were read; upstreams without an entry are removed.
struct UpstreamsListed {
  std::vector<UpstreamEntry> entries;
  /// The registry has just come back from an older copy. What it says of
  /// processes that this daemon knows, or knows to be gone, is outdated.
  bool from_older_copy = false;
};

/// The registry had an entry of an upstream with this software version, which
/// may be gone.
struct SoftwareVersionSeen {
  std::string service;
  std::string version;
};

/// This daemon knows all records that the registry had at `known_at`.
struct RegistryKnown {
  MonotonicTime known_at{};
};

/// The registry can be read again after an outage.
struct RegistryRecovered {};

/// The operators published a weight version for a model.
struct WeightsPublished {
  std::string model;
  std::uint64_t version = 0;
  /// Whether the daemon observed the publication when it happened; false if it
  /// found the version when it started.
  bool publish_time_known = true;
};

/// A peer reported the age of a published weight version. The report may have
/// been delayed, so the version is at least that old.
struct PublicationAgeReceived {
  PublicationAge publication;
};

/// @brief One part of a prompt.
struct PromptPart {
  std::string id;
  std::uint32_t tokens = 0;
};

/// @brief The prompt of a request as its caller describes it.
struct Prompt {
  std::string model;
  std::vector<PromptPart> parts;  ///< The last one is not shared.
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  std::uint32_t output_hint = 0;  ///< The caller's estimate; 0 for none.
};

/// The settings were reloaded; requests in progress continue.
struct OptionsChanged {
  Options options;
};

/// The daemon was asked to stop, and ends soon after `end_by`.
struct StopRequested {
  /// From then on, a request is accepted only if its time limit ends before
  /// `end_by`, so that it gets its response whatever the upstream does.
  MonotonicTime accept_until{};
  /// When every request that was accepted gets its final response.
  MonotonicTime end_by{};
};

/// A caller sent a request.
struct RequestReceived {
  RequestId request;
  std::string caller_id;  ///< The caller's own id of the request, for logs.
  std::string host;
  std::string path;
  std::string key;  ///< Empty when the caller sent none.
  std::optional<Prompt> prompt;
  std::optional<Duration> time_left;  ///< Caller's remaining time.
  std::string resume_after;           ///< Id of the last received event.
  /// The caller's id of the request that got the first event of the stream that
  /// this one resumes; empty if the caller did not say.
  std::string resumed_request;
  std::uint64_t fingerprint = 0;  ///< Hash of path, caller and body.
  bool forwarded = false;         ///< Another daemon forwarded it to this one.
  std::uint64_t random = 0;
};

/// The caller closed its connection.
struct CallerDisconnected {
  RequestId request;
};

/// The first event of a stream was sent to the caller. Not applied to other
/// responses, which are sent when they are complete.
struct ResponseStarted {
  RequestId request;
  AttemptId attempt;
};

/// An upstream answered on a connection that was opened after `opened_after`.
struct UpstreamConnected {
  MonotonicTime opened_after{};
};

/// An upstream reported its load with a response.
struct LoadObserved {
  std::string upstream;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  /// Duration of work relative to the usual one; absent if not reported.
  std::optional<double> slowdown;
};

/// An upstream reported the version of its weights.
struct WeightsObserved {
  std::string upstream;
  std::string model;
  std::uint64_t version = 0;
};

/// A response of an upstream said that it is leaving.
struct UpstreamLeaving {
  std::string upstream;
  /// `UpstreamEntry::started_at` when the request was sent; absent if the
  /// request was meant for another upstream.
  std::optional<std::uint64_t> started_at;
};

/// An upstream rejected a request and asked for no further ones for some time.
struct UpstreamPauseRequested {
  std::string upstream;
  /// `UpstreamEntry::started_at` when the request was sent.
  std::uint64_t started_at = 0;
  Duration pause{};
};

/// An upstream started or finished loading weights; it accepts no requests
/// meanwhile.
struct UpstreamLoading {
  std::string upstream;
  bool loading = false;
};

/// @brief How an attempt ended.
enum class AttemptOutcome {
  kCompleted,        ///< Complete response, except 5xx.
  kErrorResponse,    ///< Complete response with status 5xx.
  kNotSent,          ///< No byte was sent.
  kNotRun,           ///< The upstream rejected the request without running it.
  kWrongUpstream,    ///< Another upstream has the address; not run.
  kWrongWeights,     ///< The upstream has other weights; not run.
  kBroken,           ///< The connection was lost.
  kInvalidResponse,  ///< Not a valid response to this request.
  kTimedOut,
};

/// @brief Why no connection was made for an attempt that was not sent.
enum class ConnectFailure {
  kNone,      ///< There was one, or the cause is another one.
  kRefused,   ///< The host of the upstream refused the connection.
  kTimedOut,  ///< Nothing answered in time.
};

/// An attempt ended.
struct AttemptEnded {
  RequestId request;
  AttemptId attempt;
  AttemptOutcome outcome = AttemptOutcome::kCompleted;
  std::string last_event;  ///< Id of the last complete event of a stream.
  std::string detail;      ///< For logs.
  /// Whether the upstream sent the head of a success response.
  bool response_begun = false;
  ConnectFailure connect_failure = ConnectFailure::kNone;
  /// Whether the upstream, or its host, closed the connection.
  bool closed_by_upstream = false;
};

/// The numbers of other daemons changed.
struct PeerCountsChanged {
  std::size_t count = 0;   ///< Live peers that send individual load reports.
  std::size_t recent = 0;  ///< Peers seen recently, including dead ones.
};

/// The topic of daemon addresses was read.
struct PeersListed {
  struct Peer {
    std::string daemon;
    std::string zone;
  };
  std::vector<Peer> peers;  ///< Without this daemon.
};

/// A message of another daemon was received.
struct PeerHeard {
  std::string daemon;
  std::string zone;
  bool stopping = false;  ///< It was asked to stop.
  /// Where it accepts forwarded requests; empty if it does not, or if it cannot
  /// reach any upstream.
  std::string forwarding_address;
};

/// A crash report was received from another daemon.
struct CrashReportReceived {
  CrashReport report;
};

/// A verdict on a prompt part was received from another daemon.
struct PartVerdictReceived {
  PartVerdict verdict;
};

/// The operators began or ended the evacuation of an availability zone.
struct EvacuationChanged {
  std::string zone;
  bool evacuated = false;
};

/// All evacuated zones were read; the others are not evacuated.
struct EvacuationsListed {
  std::vector<std::string> zones;
};

/// Origins of streams were received from another daemon.
struct StreamOriginsReceived {
  std::vector<StreamOrigin> origins;
};

/// Failures of upstreams were received from another daemon.
struct UpstreamFailuresReported {
  std::string reporter;  ///< Name of the daemon, for logs.
  std::vector<UpstreamFailureReport> reports;
};

/// The time returned by `State::NextTimer` was reached.
struct TimerFired {};

using Event = std::variant<ConfigurationRead,
                           ConfigurationConfirmed,
                           UpstreamRegistered,
                           UpstreamRemoved,
                           UpstreamsListed,
                           SoftwareVersionSeen,
                           RegistryKnown,
                           RegistryRecovered,
                           WeightsPublished,
                           PublicationAgeReceived,
                           OptionsChanged,
                           StopRequested,
                           RequestReceived,
                           CallerDisconnected,
                           ResponseStarted,
                           UpstreamConnected,
                           PeerConfigurationHeard,
                           LoadObserved,
                           WeightsObserved,
                           UpstreamLeaving,
                           UpstreamPauseRequested,
                           UpstreamLoading,
                           AttemptEnded,
                           CacheListed,
                           CacheChanged,
                           CacheStoreUnreachable,
                           SharedClockRead,
                           PeerLoadReceived,
                           PeerCountsChanged,
                           PeersExpected,
                           PeersListed,
                           PeerHeard,
                           CrashReportReceived,
                           PartVerdictReceived,
                           EvacuationChanged,
                           EvacuationsListed,
                           OperatorRecordsAnnounced,
                           UpstreamFailuresReported,
                           StreamOriginsReceived,
                           TimerFired>;

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_EVENT_H_
