#ifndef JASMINEHATCH_CORE_SRC_FORWARDING_REDUCER_H_
#define JASMINEHATCH_CORE_SRC_FORWARDING_REDUCER_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "jasminehatch/detail/forwarding/effect.h"
#include "jasminehatch/detail/forwarding/event.h"
#include "jasminehatch/detail/forwarding/explanation.h"
#include "jasminehatch/detail/forwarding/placement.h"
#include "jasminehatch/detail/forwarding/state.h"

namespace jasminehatch::forwarding {

/// Minimum remaining time for starting an attempt.
inline constexpr std::chrono::milliseconds kMinAttemptTime{20};

/// @return the duration in whole milliseconds, for logs
std::string Milliseconds(Duration duration);

/// @brief Decision to refuse a request.
struct Denial {
  RefusalCode code = RefusalCode::kOverloaded;
  std::string detail;
  std::optional<Counter> counter = std::nullopt;  ///< Counted with the refusal.
};

/// @brief What a cache plan does about parts that no store holds.
enum class SavePlanning {
  kReserve,  ///< Chooses stores for them, and records the pending saves.
  kNone,     ///< Plans no saves.
};

/// Applies one event to the state and collects the effects.
class Reducer {
 public:
  Reducer(State& state, MonotonicTime now) : m_state(state), m_now(now) {}

  void Apply(const ConfigurationRead& event);
  void Apply(const ConfigurationConfirmed& event);
  void Apply(const PeersExpected& /*event*/) {
    m_state.peer_configurations.Expect();
  }
  void Apply(const PeerConfigurationHeard& event);
  void Apply(const UpstreamRegistered& event) {
    m_state.upstreams.Register(event.entry, m_now);
    ReportIfCold(event.entry.id);
  }
  void Apply(const UpstreamRemoved& event) {
    if (m_state.upstreams.Find(event.id) == nullptr) {
      // Only the newest record of a key is relayed.
      RecordRegistryGap();
    }
    m_state.upstreams.Remove(event.id, m_now);
  }
  void Apply(const UpstreamsListed& event) {
    RecordRegistryGap();
    m_state.registry.OnListed(event.from_older_copy);
    if (event.from_older_copy) {
      m_state.upstreams.AddFromOlderCopy(event.entries, m_now);
    } else {
      m_state.upstreams.ReplaceAll(event.entries, m_now);
    }
    ReportColdUpstreams();
  }
  void Apply(const SoftwareVersionSeen& event) {
    m_state.upstreams.OnSoftwareVersionSeen(event, m_now);
  }
  void Apply(const RegistryKnown& event) {
    m_state.registry.OnKnown(event.known_at);
  }
  void Apply(const RegistryRecovered& /*event*/) {
    m_state.upstreams.OnRegistryRecovered(m_now, m_state.options);
  }
  void Apply(const WeightsPublished& event) {
    m_state.upstreams.OnWeightsPublished(event, m_now);
    m_state.cache_use.OnPublished(event.model, event.version, m_now);
  }
  void Apply(const PublicationAgeReceived& event) {
    m_state.upstreams.OnPublicationAge(event.publication, m_now);
  }
  void Apply(const OptionsChanged& event) { m_state.options = event.options; }
  void Apply(const StopRequested& event);
  void Apply(const RequestReceived& event);
  void Apply(const CallerDisconnected& event);
  void Apply(const ResponseStarted& event);
  void Apply(const UpstreamConnected& event);
  void Apply(const LoadObserved& event);
  void Apply(const WeightsObserved& event) {
    m_state.upstreams.OnWeightsObserved(event);
  }
  void Apply(const UpstreamLeaving& event);
  void Apply(const UpstreamPauseRequested& event);
  void Apply(const UpstreamLoading& event) {
    m_state.upstreams.OnLoading(event, m_now + m_state.options.max_load_time);
  }
  void Apply(const AttemptEnded& event);
  void Apply(const CacheListed& event) { m_state.stores.Apply(event); }
  void Apply(const CacheChanged& event) { m_state.stores.Apply(event); }
  void Apply(const CacheStoreUnreachable& event) {
    m_state.stores.Apply(event);
  }
  void Apply(const SharedClockRead& event) {
    m_state.shared_clock.OnRead(event.clock_ms, m_now);
  }
  void Apply(const PeerLoadReceived& event) {
    m_state.fleet.Apply(event, m_now);
  }
  void Apply(const PeerCountsChanged& event) {
    m_state.fleet.SetPeerCount(event.count);
    m_state.retries.SetDaemons(event.recent + 1);
    m_state.part_suspects.SetDaemons(event.recent + 1);
  }
  void Apply(const PeersListed& event) {
    m_state.peer_configurations.OnListed(event.peers.size());
    for (const PeersListed::Peer& peer : event.peers) {
      m_state.members.OnListed(peer.daemon, peer.zone, m_now);
    }
    m_state.members.OnListRead(m_now);
  }
  void Apply(const PeerHeard& event) {
    m_state.members.OnHeard(event.daemon, event.zone, event.stopping, m_now);
    m_state.peers.OnHeard(
        event.daemon, event.zone,
        event.stopping ? std::string() : event.forwarding_address, m_now);
    m_state.peer_contact.OnHeard(event.zone, m_now);
  }
  void Apply(const CrashReportReceived& event) { RecordCrash(event.report); }
  void Apply(const PartVerdictReceived& event) {
    m_state.part_suspects.Merge(event.verdict, m_now);
    ReportPartVerdicts();
  }
  void Apply(const EvacuationChanged& event);
  void Apply(const EvacuationsListed& event);

  void Apply(const OperatorRecordsAnnounced& event) {
    m_state.lag.OnAnnounced(event.end, m_now);
  }
  void Apply(const UpstreamFailuresReported& event);
  void Apply(const StreamOriginsReceived& event);
  void Apply(const TimerFired& event);

  /// Accepts the freshness proof that waited for the peers to be heard.
  void ApplyPendingConfirmation();

  /// Decides on a request as its arrival would, without admitting it.
  Explanation Explain(const RequestReceived& event) const;

  Effects TakeEffects() { return std::move(m_effects); }

 private:
  Request* Find(RequestId id) {
    const auto found = m_state.requests.find(id);
    return found == m_state.requests.end() ? nullptr : &found->second;
  }
  /// @return whether a peer has a newer configuration than this daemon
  bool HasOlderConfigurationThanPeers() const {
    return m_state.table &&
           m_state.peer_configurations.HasNewerThan(
               m_state.table->SourceConfiguration().version, m_now);
  }
  bool ConfigurationIsCurrent() const {
    return m_state.table && m_state.confirmed_at &&
           m_now - *m_state.confirmed_at <= m_state.options.max_proof_age;
  }

  /// Describes for the log from whom the daemon knows that its configuration
  /// is, or is not, the newest one.
  void LogConfiguration(std::string_view event);

  /// @return a description of the age of the freshness proof, for logs
  std::string DescribeProofAge() const {
    return m_state.confirmed_at
               ? "the configuration was proved current " +
                     Milliseconds(m_now - *m_state.confirmed_at) + " ms ago"
               : "the configuration was not yet proved current";
  }

  /// Fills in what follows from the arrival alone.
  void Accept(Request& request, const RequestReceived& event) const;
  /// Finds the route, the workspace and the service of a request.
  /// @return why it is refused, if it is
  std::optional<Denial> Admit(Request& request) const;
  std::optional<Denial> Authorize(Request& request) const;
  /// Sets the deadline, which a stop of the daemon may shorten.
  void SetDeadline(Request& request, MonotonicTime requested) const;
  /// @return whether an attempt that starts now could still be running when the
  /// daemon ends
  bool MayOutlastStop(const Request& request) const;
  static Denial MakeStopDenial();
  void ChooseService(Request& request) const;
  /// Records that an attempt lost its connection: the request may have crashed
  /// the upstream.
  void RecordLostConnection(const Request& request,
                            const AttemptEnded& event,
                            const Upstream& upstream);
  /// @return whether a request that got no event before its attempt ended is
  /// likely to crash a further upstream. Those that got one are victims of
  /// another request's crash.
  bool MayCrashAnother(const Request& request, const AttemptEnded& event) const;
  /// Records a crash report, and broadcasts it if it is new.
  void RecordCrash(const CrashReport& report);
  void RecordAnswer(const Request& request) {
    m_state.part_suspects.RecordAnswer(request.shared_parts, m_now);
    ReportPartVerdicts();
  }
  /// Logs the prompt parts of a request whose upstream crashed as it began to
  /// answer.
  void LogSuspectedParts(const Request& request);
  /// Counts and logs the verdicts that this daemon has just reached.
  void ReportPartVerdicts();
  std::optional<Duration> CrashRefusalTimeLeft(const Request& request) const;
  /// @return why the request is refused if identical ones, or others with one
  /// of its prompt parts, crashed too many upstreams
  std::optional<Denial> FindCrashDenial(const Request& request) const;
  /// Refuses the request if identical ones, or others with one of its prompt
  /// parts, crashed too many upstreams.
  /// @return whether it was refused
  bool RefuseIfCrashSuspect(Request& request);
  /// @return whether the request is let through although one of its prompt
  /// parts is quarantined
  bool TryProbe(const Request& request);
  /// @return whether `TryProbe` would let the request through
  bool MayProbe(const Request& request) const;
  /// @return why the request is refused if an attempt has too little time
  std::optional<Denial> FindTimeDenial(const Request& request) const;
  /// @return why the request is refused if no upstream can take it
  std::optional<Denial> FindPlacementDenial(const Request& request,
                                            const Placement& placement) const;
  /// @return whether no stream can have begun with a software version that this
  /// daemon has not yet read of, unless a peer told of the stream
  bool KnowsSoftwareVersions() const;
  /// Records that entries of the registry may have come and gone unread, unless
  /// this daemon would know of all streams that began with them.
  void RecordRegistryGap();
  /// Finds the software version that began the stream of a request that resumes
  /// one.
  /// @return why the request is refused if the version is not known
  std::optional<Denial> FindOrigin(Request& request) const;
  /// Records where a stream began of which an event was sent.
  void RecordOrigin(Request& request);
  void Dispatch(Request& request);
  void StartOn(Request& request, const Placement& placement);
  /// @return the scope of the cache salts of a workspace's requests
  std::string CacheScope(const std::string& workspace) const;
  CachePlan MakeCachePlan(const Request& request,
                          const Placement& placement,
                          SavePlanning saves) const;
  void PlanPartTransfers(const Request& request,
                         const Placement& placement,
                         SavePlanning saves,
                         CachePlan& plan) const;
  std::optional<MonotonicTime> AttemptTimeoutAt(const Request& request) const;
  /// Records a response of an upstream, unless an earlier process sent it.
  void RecordResponse(const Request& request, Upstream& upstream);
  void EndAttempt(Request& request);
  void RecordOutcome(const Request& request, const AttemptEnded& event);
  Duration PauseAfterRejection(const Request& request,
                               const Upstream& upstream) const;
  void HandleNotRun(Request& request, const AttemptEnded& event);
  /// @param answered whether the attempt had sent an event to the caller
  void HandleFailure(Request& request,
                     const AttemptEnded& event,
                     bool answered);
  /// @return whether a further attempt was started
  bool Retry(Request& request, Counter reason, const std::string& detail);
  RefuseRequest MakeRefusal(const Request& request, Denial denial) const;
  void Refuse(Request& request, Denial denial);
  /// Describes that all upstreams that can run the request are cold and this
  /// daemon may send them none for now.
  static Denial MakeWarmUpDenial(const Request& request);
  /// Counts an attempt against this daemon's share if the upstream is cold.
  void RecordColdSend(const Upstream& upstream);
  /// Treats an upstream that could not be reached as if it had restarted.
  void PresumeCold(Upstream& upstream);
  /// Counts and logs an upstream that has become cold.
  void ReportIfCold(Upstream& upstream);
  void ReportIfCold(const std::string& id) {
    if (Upstream* upstream = m_state.upstreams.Find(id)) {
      ReportIfCold(*upstream);
    }
  }
  void ReportColdUpstreams();
  /// Reports a failure of this daemon's own attempt to the others if it is new.
  void RecordUpstreamFailure(Upstream& upstream, UpstreamFailure failure);
  bool IsExcludedAfterFailure(const Upstream& upstream) const;
  void ApplyFailureReport(const UpstreamFailureReport& report,
                          const std::string& reporter);
  /// Counts and logs that an upstream is not used because of a failure.
  /// @param reporter name of the daemon that told of it; may be this one
  void LogUpstreamFailure(const Upstream& upstream,
                          UpstreamFailure failure,
                          Duration age,
                          const std::string& reporter);
  void RecordConnectFailure(Upstream& upstream, ConnectFailure failure);
  /// @return the zones of all upstreams that can be used
  std::vector<std::string> ZonesWithUpstreams() const;
  /// Records that no connection to an upstream could be opened.
  void RecordUnreachable(const Upstream& upstream);
  /// @return the name of the daemon to forward the request to, if this one
  /// reaches no upstream and another one does; otherwise null
  const std::string* ChoosePeer(const Request& request) const;
  /// Forwards the request to another daemon if this one reaches no upstream,
  /// and it need not find out whether it does again.
  /// @return whether it was forwarded
  bool ForwardToPeer(Request& request);
  void StartAtPeer(Request& request, const std::string& peer);
  /// Records that nothing answered a connect to an upstream.
  void RecordConnectTimeout(const Upstream& upstream);
  /// Records that something was received from an upstream of the zone.
  void RecordZoneContact(std::string_view zone);
  void SetTimer(Request& request);
  void Erase(Request& request);
  Duration RetryAfter(const Request& request) const;
  void Log(const Request& request,
           std::string_view event,
           std::vector<DecisionField> fields) {
    m_effects.emplace_back(
        LogDecision{event, request.arrival.caller_id, std::move(fields)});
  }
  void Log(std::string_view event, std::vector<DecisionField> fields) {
    m_effects.emplace_back(LogDecision{event, "", std::move(fields)});
  }
  void LogStateChange(std::string_view event,
                      std::vector<DecisionField> fields) {
    m_effects.emplace_back(
        LogDecision{event, "", std::move(fields), /*is_state_change=*/true});
  }
  void ReportEvacuation(const std::string& zone, bool evacuated);
  /// Describes that no upstream can be used for the request.
  static Denial MakeDenialForLackOfUpstreams(const Request& request,
                                             const Placement& placement);
  Explanation DescribeAdmission(const Request& request) const;
  /// @param request its random number is overwritten
  void ExplainRefusal(Request& request,
                      Denial denial,
                      Explanation& explanation) const;
  void ExplainPlacement(const Request& request,
                        const Placement& placement,
                        const PlacementTrace& trace,
                        Explanation& explanation) const;
  UpstreamExplanation DescribeUpstream(const Request& request,
                                       const Upstream& upstream) const;
  /// @return where the upstream would fetch the shared parts from
  std::vector<PartExplanation> ExplainParts(const Request& request,
                                            Placement placement,
                                            Upstream& upstream) const;
  void LogPlacement(const Request& request,
                    const Placement& placement,
                    std::string_view event,
                    std::string cause);

  State& m_state;
  MonotonicTime m_now;
  Effects m_effects;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_CORE_SRC_FORWARDING_REDUCER_H_
