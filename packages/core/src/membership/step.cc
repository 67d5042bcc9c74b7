#include "jasminehatch/detail/membership/step.h"

#include <algorithm>
#include <array>
#include <bit>
#include <tuple>
#include <utility>

#include "jasminehatch/detail/membership/state.h"

namespace jasminehatch::membership {
namespace {

/// On average, one probe interval in this many also probes a peer that left or
/// died. This finds a restarted peer, or one that a network partition had
/// separated.
constexpr std::uint64_t kIntervalsPerGoneProbe = 3;

/// Applies one event to the state and collects the effects.
class Reducer {
 public:
  Reducer(State& state, MonotonicTime now) : m_state(state), m_now(now) {}

  void Apply(const Started& event) {
    m_state.name = event.name;
    m_state.incarnation = event.incarnation;
    m_state.random.Seed(event.random);
    for (const std::string& peer : event.peers) {
      if (peer != event.name) {
        m_state.peers[peer];
      }
    }
    if (!m_state.peers.empty()) {
      ProbePeers();
    }
  }

  void Apply(const ProbeReceived& event) {
    Merge(event.message);
    m_effects.emplace_back(SendReply{BuildMessage(event.message.from)});
  }

  void Apply(const ProbeReplyReceived& event) {
    EndProbe(event.peer);
    if (event.message.from == event.peer) {
      Merge(event.message);
    }
    EndSurveyIfComplete();
  }

  void Apply(const ProbeFailed& event) {
    EndProbe(event.peer);
    const auto peer = m_state.peers.find(event.peer);
    if (peer != m_state.peers.end() && peer->second.status == Status::kAlive) {
      ApplyUpdate(peer->first, peer->second,
                  {peer->first, peer->second.incarnation,
                   peer->second.refutation_count, Status::kSuspected});
    }
    EndSurveyIfComplete();
  }

  void Apply(const LeavingDetected& event) { AddLeaving(event.upstream); }

  void Apply(const RequestQuarantined& event) {
    AddQuarantine(event.fingerprint, m_now + event.remaining);
  }

  void Apply(const SurveyRequested& event) {
    m_state.survey = event.survey;
    for (const auto& [name, peer] : m_state.peers) {
      m_state.survey_pending.insert(name);
      Probe(name);
    }
    EndSurveyIfComplete();
  }

  void Apply(const ShutdownRequested& /*event*/) {
    m_state.stopping = true;
    ProbePeers();
  }

  void Apply(const TimerFired& /*event*/) {
    for (auto& [name, peer] : m_state.peers) {
      if (peer.status == Status::kSuspected &&
          peer.status_since + m_state.options.suspect_time <= m_now) {
        ApplyUpdate(
            name, peer,
            {name, peer.incarnation, peer.refutation_count, Status::kDead});
      }
    }
    std::erase_if(m_state.quarantined_requests, [this](const auto& entry) {
      return entry.second.expires <= m_now;
    });
    std::erase_if(m_state.leaving_upstreams, [this](const auto& entry) {
      return entry.second.reported_at + m_state.options.leaving_retention <=
             m_now;
    });
    if (m_state.probe_at && *m_state.probe_at <= m_now) {
      ProbePeers();
    }
  }

  Effects TakeEffects() { return std::move(m_effects); }

 private:
  /// @return in how many messages an item is repeated: an update reaches all
  /// members with high probability in a logarithmic number of exchanges
  std::uint32_t SendCount() const {
    return m_state.options.send_factor *
           static_cast<std::uint32_t>(std::bit_width(m_state.peers.size() + 1));
  }

  void ProbePeers() {
    m_state.probe_at = m_now + m_state.options.probe_interval;
    std::vector<std::string> active;
    std::vector<std::string> gone;
    for (const auto& [name, peer] : m_state.peers) {
      (IsGone(peer.status) ? gone : active).push_back(name);
    }
    for (std::uint32_t i = 0;
         i < m_state.options.probes_per_interval && !active.empty(); ++i) {
      const auto index = m_state.random.Below(active.size());
      std::swap(active[index], active.back());
      Probe(active.back());
      active.pop_back();
    }
    const bool probe_gone = m_state.random.Below(kIntervalsPerGoneProbe) == 0;
    if (!gone.empty() && probe_gone) {
      Probe(gone[m_state.random.Below(gone.size())]);
    }
  }

  void Probe(const std::string& name) {
    if (m_state.probing.insert(name).second) {
      m_effects.emplace_back(SendProbe{name, BuildMessage(name)});
    }
  }

  void EndProbe(const std::string& name) {
    m_state.probing.erase(name);
    m_state.survey_pending.erase(name);
  }

  void EndSurveyIfComplete() {
    if (m_state.survey && m_state.survey_pending.empty()) {
      m_effects.emplace_back(SurveyEnded{*m_state.survey});
      m_state.survey.reset();
    }
  }

  Message BuildMessage(const std::string& to) {
    Message message;
    message.from = m_state.name;
    message.incarnation = m_state.incarnation;
    message.refutation_count = m_state.refutation_count;
    message.config_offset = m_state.config_offset;
    if (m_state.stopping) {
      message.member_updates.push_back({m_state.name, m_state.incarnation,
                                        m_state.refutation_count,
                                        Status::kLeft});
    }
    // A process that is suspected or declared dead must be informed, so that it
    // can refute the suspicion or rejoin.
    const auto receiver = m_state.peers.find(to);
    if (receiver != m_state.peers.end() &&
        receiver->second.status > Status::kAlive) {
      message.member_updates.push_back(MakeUpdate(to, receiver->second));
    }
    // The newest items have the most transmissions left.
    for (const auto& [name, peer] :
         LeastSentItems(m_state.peers, kMaxMemberUpdates)) {
      if (message.member_updates.size() < kMaxMemberUpdates && name != to) {
        message.member_updates.push_back(MakeUpdate(name, *peer));
        --peer->sends_left;
      }
    }
    for (const auto& [name, entry] :
         LeastSentItems(m_state.leaving_upstreams, kMaxLeaving)) {
      message.leaving_upstreams.push_back(name);
      --entry->sends_left;
    }
    for (const auto& [fingerprint, entry] :
         LeastSentItems(m_state.quarantined_requests, kMaxQuarantined)) {
      message.quarantined_requests.push_back(
          {fingerprint, std::chrono::duration_cast<std::chrono::seconds>(
                            entry->expires - m_now)});
      --entry->sends_left;
    }
    return message;
  }

  template <typename Map>
  static std::vector<
      std::pair<typename Map::key_type, typename Map::mapped_type*>>
  LeastSentItems(Map& items, std::size_t limit) {
    std::vector<std::pair<typename Map::key_type, typename Map::mapped_type*>>
        chosen;
    for (auto& [key, item] : items) {
      if (item.sends_left > 0) {
        chosen.emplace_back(key, &item);
      }
    }
    std::stable_sort(
        chosen.begin(), chosen.end(), [](const auto& left, const auto& right) {
          return left.second->sends_left > right.second->sends_left;
        });
    if (chosen.size() > limit) {
      chosen.resize(limit);
    }
    return chosen;
  }

  static MemberUpdate MakeUpdate(const std::string& name, const Peer& peer) {
    return {name, peer.incarnation, peer.refutation_count, peer.status};
  }

  void Merge(const Message& message) {
    OnUpdate({message.from, message.incarnation, message.refutation_count,
              Status::kAlive});
    for (const MemberUpdate& update : message.member_updates) {
      OnUpdate(update);
    }
    // This includes a sender that was declared dead during a partition. It is
    // reachable now, so the configuration can be read from it up to its offset.
    if (m_state.peers.contains(message.from)) {
      m_effects.emplace_back(
          OffsetReceived{message.from, message.config_offset});
    }
    for (const std::string& upstream : message.leaving_upstreams) {
      if (AddLeaving(upstream)) {
        m_effects.emplace_back(LeavingReceived{upstream});
      }
    }
    for (const Quarantine& entry : message.quarantined_requests) {
      if (entry.remaining.count() > 0 &&
          AddQuarantine(entry.fingerprint, m_now + entry.remaining)) {
        m_effects.emplace_back(
            QuarantineReceived{entry.fingerprint, entry.remaining});
      }
    }
  }

  void OnUpdate(const MemberUpdate& update) {
    if (update.name == m_state.name) {
      OnUpdateOfSelf(update);
      return;
    }
    const auto entry = m_state.peers.find(update.name);
    if (entry == m_state.peers.end() || update.status == Status::kUnheard ||
        update.incarnation == 0) {
      return;
    }
    Peer& peer = entry->second;
    const bool newer_process = update.incarnation > peer.incarnation;
    const bool same_process = update.incarnation == peer.incarnation;
    // The status of a process that left or is dead is final.
    const bool newer_status =
        same_process && !IsGone(peer.status) &&
        (IsGone(update.status) ||
         std::tie(update.refutation_count, update.status) >
             std::tie(peer.refutation_count, peer.status));
    if (newer_process || newer_status) {
      ApplyUpdate(entry->first, peer, update);
    }
  }

  void OnUpdateOfSelf(const MemberUpdate& update) {
    if (update.incarnation != m_state.incarnation || m_state.stopping) {
      return;
    }
    if (update.status == Status::kSuspected &&
        update.refutation_count >= m_state.refutation_count) {
      m_state.refutation_count = update.refutation_count + 1;
    } else if (IsGone(update.status)) {
      // Declared dead during a partition. The status is final for this
      // incarnation, so the process rejoins with a higher one.
      ++m_state.incarnation;
      m_state.refutation_count = 0;
      Count(Counter::kMembershipRejoined);
    }
  }

  void ApplyUpdate(const std::string& name,
                   Peer& peer,
                   const MemberUpdate& update) {
    if (update.incarnation != peer.incarnation && peer.incarnation != 0 &&
        !IsGone(peer.status)) {
      m_effects.emplace_back(ProcessGone{name, peer.incarnation});
      Count(Counter::kPeerGone);
    }
    peer.incarnation = update.incarnation;
    peer.refutation_count = update.refutation_count;
    peer.status = update.status;
    peer.status_since = m_now;
    peer.sends_left = SendCount();
    if (IsGone(update.status)) {
      m_effects.emplace_back(ProcessGone{name, update.incarnation});
      Count(Counter::kPeerGone);
    } else if (update.status == Status::kSuspected) {
      Count(Counter::kPeerSuspected);
    }
  }

  bool AddLeaving(const std::string& upstream) {
    const auto [entry, added] =
        m_state.leaving_upstreams.emplace(upstream, LeavingUpstream{});
    entry->second.reported_at = m_now;
    if (!added) {
      return false;
    }
    entry->second.sends_left = SendCount();
    if (m_state.leaving_upstreams.size() > m_state.options.max_gossip_items) {
      m_state.leaving_upstreams.erase(std::min_element(
          m_state.leaving_upstreams.begin(), m_state.leaving_upstreams.end(),
          [](const auto& left, const auto& right) {
            return left.second.reported_at < right.second.reported_at;
          }));
    }
    return true;
  }

  bool AddQuarantine(const Fingerprint& fingerprint, MonotonicTime expires) {
    const auto [entry, added] =
        m_state.quarantined_requests.emplace(fingerprint, QuarantineEntry{});
    if (!added) {
      return false;
    }
    entry->second = {expires, SendCount()};
    if (m_state.quarantined_requests.size() >
        m_state.options.max_gossip_items) {
      m_state.quarantined_requests.erase(
          std::min_element(m_state.quarantined_requests.begin(),
                           m_state.quarantined_requests.end(),
                           [](const auto& left, const auto& right) {
                             return left.second.expires < right.second.expires;
                           }));
    }
    return true;
  }

  void Count(Counter counter) { m_effects.emplace_back(CountEvent{counter}); }

  State& m_state;
  MonotonicTime m_now;
  Effects m_effects;
};

}  // namespace

std::string_view ToString(Status status) {
  static constexpr std::array<std::string_view, 5> kNames{
      "unheard", "alive", "suspected", "left", "dead"};
  return kNames.at(static_cast<std::size_t>(status));
}

std::optional<MonotonicTime> State::NextTimer() const {
  std::optional<MonotonicTime> next = probe_at;
  for (const auto& [peer_name, peer] : peers) {
    if (peer.status == Status::kSuspected &&
        (!next || peer.status_since + options.suspect_time < *next)) {
      next = peer.status_since + options.suspect_time;
    }
  }
  return next;
}

Effects Step(const Event& event, MonotonicTime now, State& state) {
  Reducer reducer(state, now);
  std::visit([&](const auto& body) { reducer.Apply(body); }, event);
  return reducer.TakeEffects();
}

}  // namespace jasminehatch::membership
