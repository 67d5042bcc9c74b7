#include "jasminehatch/detail/config/step.h"

#include <algorithm>
#include <utility>

#include "jasminehatch/detail/config/state.h"

namespace jasminehatch::config {
namespace {

/// Applies one event to the state and collects the effects.
class Reducer {
 public:
  Reducer(State& state, MonotonicTime now) : m_state(state), m_now(now) {}

  void Apply(const Started& event) {
    m_state.started_at = m_now;
    m_state.random.Seed(event.random);
    m_state.surveyed = !event.has_peers;
  }

  void Apply(const LogRead& event) {
    m_state.log_read_at = m_now;
    m_state.wall_now = event.wall_now;
    ApplyIfChanged(m_state.reader.Read(event.page));
    if (event.end_reached && m_state.reader.Complete()) {
      m_state.log_end_reached = true;
      m_state.fresh_at = m_now;
    }
  }

  void Apply(const PeerPageReceived& event) {
    if (m_state.fetch && m_state.fetch->peer == event.peer) {
      m_state.fetch.reset();
    }
    const Version before = m_state.Offset();
    bool changed = m_state.reader.ReadSnapshot(event.snapshot);
    // A peer's page that starts later does not mean a gap in the log, so it is
    // ignored.
    if (event.page.from <= m_state.reader.Next()) {
      changed = m_state.reader.Read(event.page) || changed;
    }
    ApplyIfChanged(changed);
    if (m_state.Offset() > before) {
      m_state.fresh_at = m_now;
      Count(Counter::kConfigReadFromPeer);
    } else {
      // The peer would send the same reply until it reports a newer offset.
      DropOffset(event.peer);
    }
  }

  void Apply(const PeerFetchFailed& event) {
    if (m_state.fetch && m_state.fetch->peer == event.peer) {
      m_state.fetch.reset();
    }
    DropOffset(event.peer);
  }

  void Apply(const PeerOffsetReceived& event) {
    Version& offset = m_state.peer_offsets[event.peer];
    offset = std::max(offset, event.offset);
  }

  void Apply(const ProcessGone& event) { DropOffset(event.peer); }

  void Apply(const PeersSurveyed& event) {
    // An earlier survey can end after a new one became necessary.
    if (event.survey == m_state.survey && m_state.survey_requested) {
      m_state.surveyed = true;
    }
  }

  void Apply(const ApplyEnded& event) {
    if (event.valid) {
      m_state.applied = std::max(m_state.applied, event.version);
      if (m_state.invalid_version &&
          *m_state.invalid_version <= event.version) {
        m_state.invalid_version.reset();
        m_state.invalid_detail.clear();
      }
    } else {
      m_state.invalid_version = event.version;
      m_state.invalid_detail = event.detail;
      Count(Counter::kConfigRefused);
    }
  }

  void Apply(const PartAppended& event) {
    auto& snapshot_write = m_state.snapshot_write;
    if (!snapshot_write ||
        snapshot_write->next >= snapshot_write->parts.size()) {
      return;
    }
    const SnapshotPart& part = snapshot_write->parts[snapshot_write->next];
    if (part.covers != event.covers || part.part != event.part) {
      return;
    }
    if (!event.appended) {
      snapshot_write->retry_at = m_now + m_state.options.append_retry;
      return;
    }
    ++snapshot_write->next;
    if (snapshot_write->next == snapshot_write->parts.size()) {
      snapshot_write.reset();
      Count(Counter::kConfigSnapshotWritten);
      return;
    }
    AppendNextPart();
  }

  void Apply(const TimerFired& /*event*/) {
    if (m_state.fetch && m_state.fetch->expires <= m_now) {
      const std::string peer = m_state.fetch->peer;
      m_state.fetch.reset();
      DropOffset(peer);
    }
    auto& snapshot_write = m_state.snapshot_write;
    if (snapshot_write && snapshot_write->retry_at &&
        *snapshot_write->retry_at <= m_now) {
      AppendNextPart();
    }
    if (m_state.snapshot_at && *m_state.snapshot_at <= m_now) {
      m_state.snapshot_at.reset();
      if (IsSnapshotDue() && !snapshot_write) {
        snapshot_write = SnapshotWrite{
            m_state.reader.Fold().ToParts(m_state.wall_now), 0, {}};
        AppendNextPart();
      }
    }
  }

  Effects Finish() {
    UpdateStale();
    RequestSurvey();
    StartFetch();
    UpdateReady();
    ScheduleSnapshot();
    return std::move(m_effects);
  }

 private:
  /// Drops the offset of an unreachable peer. The peer may still be live, so a
  /// daemon that is not ready surveys all peers again.
  void DropOffset(const std::string& peer) {
    if (m_state.peer_offsets.erase(peer) > 0 && !m_state.ready) {
      m_state.surveyed = false;
      m_state.survey_requested = false;
    }
  }

  void ApplyIfChanged(bool changed) {
    if (changed) {
      m_effects.emplace_back(
          ApplyConfiguration{m_state.reader.Fold().CurrentVersion()});
    }
  }

  void AppendNextPart() {
    m_state.snapshot_write->retry_at.reset();
    m_effects.emplace_back(AppendPart{
        m_state.snapshot_write->parts[m_state.snapshot_write->next]});
  }

  void UpdateStale() {
    const bool stale = !m_state.fresh_at ||
                       *m_state.fresh_at + m_state.options.stale_after <= m_now;
    if (stale != m_state.stale) {
      m_state.stale = stale;
      m_effects.emplace_back(StaleChanged{stale});
      if (stale) {
        Count(Counter::kConfigStale);
      }
    }
  }

  bool IsLogSilent() const {
    const auto since =
        m_state.log_read_at ? m_state.log_read_at : m_state.started_at;
    return since && *since + m_state.options.log_silence <= m_now;
  }

  /// Surveys the peers if the log is unreachable. The end of the log is at
  /// least as new as any peer's offset, so otherwise there is no need.
  void RequestSurvey() {
    if (!m_state.survey_requested && !m_state.surveyed &&
        !m_state.log_end_reached && IsLogSilent()) {
      m_state.survey_requested = true;
      m_effects.emplace_back(SurveyPeers{++m_state.survey});
    }
  }

  void StartFetch() {
    const bool needed = IsLogSilent() || !m_state.reader.Complete();
    if (m_state.fetch || !needed) {
      return;
    }
    const auto newest = std::max_element(
        m_state.peer_offsets.begin(), m_state.peer_offsets.end(),
        [](const auto& left, const auto& right) {
          return left.second < right.second;
        });
    if (newest == m_state.peer_offsets.end() ||
        newest->second <= m_state.Offset()) {
      return;
    }
    m_state.fetch = Fetch{newest->first, m_now + m_state.options.fetch_timeout};
    // If records are missing, the whole state is requested.
    m_effects.emplace_back(FetchFromPeer{
        newest->first, m_state.reader.Complete() ? m_state.Offset() + 1 : 0});
  }

  void UpdateReady() {
    if (m_state.ready || m_state.applied == 0) {
      return;
    }
    const bool newest = std::all_of(
        m_state.peer_offsets.begin(), m_state.peer_offsets.end(),
        [this](const auto& peer) { return peer.second <= m_state.Offset(); });
    m_state.ready = newest && (m_state.log_end_reached || m_state.surveyed);
  }

  bool IsSnapshotDue() const {
    const ConfigReader& reader = m_state.reader;
    if (!reader.Complete() || reader.Fold().CurrentVersion() == 0) {
      return false;
    }
    const auto& last = reader.LastSnapshot();
    const Version covered = last ? last->covers : 0;
    if (m_state.Offset() - covered >= m_state.options.snapshot_records) {
      return true;
    }
    if (last) {
      return m_state.wall_now - last->written >= m_state.options.snapshot_age;
    }
    // Without a snapshot the age of the oldest record is not known, so the
    // first snapshot is due after only an eighth of the usual age.
    return m_state.complete_since &&
           *m_state.complete_since + m_state.options.snapshot_age / 8 <= m_now;
  }

  void ScheduleSnapshot() {
    if (!m_state.complete_since && m_state.reader.Complete() &&
        m_state.log_end_reached) {
      m_state.complete_since = m_now;
    }
    // A snapshot of another daemon that covers as much makes this one
    // redundant.
    const auto& last = m_state.reader.LastSnapshot();
    if (m_state.snapshot_write && last &&
        last->covers >= m_state.snapshot_write->parts.front().covers) {
      m_state.snapshot_write.reset();
    }
    if (m_state.snapshot_at || m_state.snapshot_write ||
        !m_state.log_end_reached || !IsSnapshotDue()) {
      return;
    }
    const auto max_delay = static_cast<std::uint64_t>(
        std::max<Duration::rep>(m_state.options.max_snapshot_delay.count(), 1));
    m_state.snapshot_at =
        m_now +
        Duration(static_cast<Duration::rep>(m_state.random.Below(max_delay)));
  }

  void Count(Counter counter) { m_effects.emplace_back(CountEvent{counter}); }

  State& m_state;
  MonotonicTime m_now;
  Effects m_effects;
};

}  // namespace

std::optional<MonotonicTime> State::NextTimer() const {
  std::optional<MonotonicTime> next = snapshot_at;
  const auto consider = [&next](std::optional<MonotonicTime> time) {
    if (time && (!next || *time < *next)) {
      next = time;
    }
  };
  if (!stale && fresh_at) {
    consider(*fresh_at + options.stale_after);
  }
  if (fetch) {
    consider(fetch->expires);
  }
  if (snapshot_write) {
    consider(snapshot_write->retry_at);
  }
  if (started_at && !log_read_at && !survey_requested && !surveyed) {
    consider(*started_at + options.log_silence);
  }
  return next;
}

Effects Step(const Event& event, MonotonicTime now, State& state) {
  Reducer reducer(state, now);
  std::visit([&](const auto& body) { reducer.Apply(body); }, event);
  return reducer.Finish();
}

}  // namespace jasminehatch::config
