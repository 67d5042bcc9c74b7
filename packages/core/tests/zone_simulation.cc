#include "zone_simulation.h"

#include <algorithm>
#include <utility>

namespace jasminehatch::testing {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kPageLimit = 5;
const WallTime kEpoch{std::chrono::hours(500'000)};

bool IsValid(const Entries& entries) {
  return std::none_of(entries.begin(), entries.end(), [](const auto& entry) {
    return entry.second.contains("bad");
  });
}

}  // namespace

void FakeZoneLog::Append(decltype(config::Record::body) body) {
  const config::Version offset = Next();
  if (const auto* change = std::get_if<config::ConfigChange>(&body)) {
    if (!m_results.contains(change->change_id)) {
      const bool accepted = change->base == m_version;
      m_results[change->change_id] = {change->base, accepted};
      if (accepted) {
        m_version = offset;
        for (const auto& update : change->updates) {
          if (update.fields) {
            m_entries[update.id] = *update.fields;
          } else {
            m_entries.erase(update.id);
          }
        }
      }
    }
  } else if (const auto* part = std::get_if<config::SnapshotPart>(&body)) {
    auto& parts = m_parts[part->covers];
    parts.insert(part->part);
    if (parts.size() == part->count) {
      m_covered = std::max(m_covered, part->covers);
    }
  }
  m_records.push_back({offset, std::move(body)});
  m_history.emplace_back(m_version, m_entries);
}

config::Page FakeZoneLog::PageFrom(config::Version from,
                                   std::size_t limit) const {
  config::Page page;
  page.from = std::max(from, m_first);
  page.next = page.from;
  while (page.next < Next() && page.records.size() < limit) {
    page.records.push_back(m_records[page.next - m_first]);
    ++page.next;
  }
  return page;
}

void FakeZoneLog::Expire() {
  while (m_first <= m_covered) {
    m_records.pop_front();
    ++m_first;
  }
}

ZoneSimulation::ZoneSimulation(bool trace) : m_tracing(trace) {
  for (std::size_t node = 0; node < kNodes; ++node) {
    Restart(node);
  }
}

void ZoneSimulation::Restart(std::size_t node) {
  Node& target = nodes[node];
  const bool log_unreachable = target.log_unreachable;
  target = Node{};
  target.log_unreachable = log_unreachable;
  // Each rejoin increments the incarnation; a later process starts above that.
  target.incarnation = m_next_incarnation += 1000;
  target.state->config.options.snapshot_records = 6;
  target.state->config.options.max_snapshot_delay = 2s;
  for (std::size_t other = 0; other < kNodes; ++other) {
    // A restarted process no longer has the records that it had read.
    nodes[other].needed[node] = 0;
    if (other != node && Reachable(node, other)) {
      target.needed[other] = nodes[other].state->config.Offset();
    }
  }
  AddTraceLine(Name(node) + " starts");
  Post(node,
       membership::Event{membership::Started{Name(node),
                                             target.incarnation,
                                             target.incarnation,
                                             {Name(0), Name(1), Name(2)}}});
  Post(node, config::Event{config::Started{target.incarnation, true}});
}

void ZoneSimulation::Post(std::size_t node, decltype(Event::body) body) {
  const Effects effects = Step({m_now, std::move(body)}, *nodes[node].state);
  for (const Effect& effect : effects) {
    Execute(node, effect);
  }
  Check(node);
}

void ZoneSimulation::PostTo(std::size_t node,
                            std::uint64_t incarnation,
                            decltype(Event::body) body) {
  if (nodes[node].incarnation == incarnation) {
    Post(node, std::move(body));
  }
}

void ZoneSimulation::Execute(std::size_t node, const Effect& effect) {
  if (const auto* config_effect = std::get_if<config::Effect>(&effect)) {
    Apply(node, *config_effect);
  } else if (const auto* membership_effect =
                 std::get_if<membership::Effect>(&effect)) {
    Apply(node, *membership_effect);
  }
}

void ZoneSimulation::Apply(std::size_t node, const config::Effect& effect) {
  Node& self = nodes[node];
  const std::uint64_t incarnation = self.incarnation;
  if (const auto* apply = std::get_if<config::ApplyConfiguration>(&effect)) {
    const Entries& entries = self.state->config.reader.Fold().Entries();
    const bool valid = IsValid(entries);
    AddTraceLine(Name(node) + " version " + std::to_string(apply->version) +
                 (valid ? " in use" : " refused"));
    if (valid) {
      if (apply->version < self.version_in_force) {
        Fail("the version in force decreased", node);
      }
      self.in_force = entries;
      self.version_in_force = apply->version;
    }
    Post(node, config::Event{config::ApplyEnded{apply->version, valid,
                                                valid ? "" : "bad"}});
  } else if (const auto* fetch = std::get_if<config::FetchFromPeer>(&effect)) {
    AddTraceLine(Name(node) + " asks " + fetch->peer + " for records from " +
                 std::to_string(fetch->from));
    m_queue.push_back(
        {[this, node, incarnation, fetch_effect = *fetch](bool lost) {
          const std::size_t peer = IndexOf(fetch_effect.peer);
          if (lost || !Reachable(node, peer)) {
            PostTo(node, incarnation,
                   config::Event{config::PeerFetchFailed{fetch_effect.peer}});
            return;
          }
          auto reply =
              nodes[peer].state->config.reader.PageFrom(fetch_effect.from, 5);
          m_queue.push_back({[this, node, incarnation, fetch_effect,
                              reply = std::move(reply)](bool reply_lost) {
            if (reply_lost) {
              PostTo(node, incarnation,
                     config::Event{config::PeerFetchFailed{fetch_effect.peer}});
              return;
            }
            PostTo(node, incarnation,
                   config::Event{config::PeerPageReceived{
                       fetch_effect.peer, reply.snapshot, reply.page}});
          }});
        }});
  } else if (const auto* append = std::get_if<config::AppendPart>(&effect)) {
    AddTraceLine(Name(node) + " appends snapshot part " +
                 std::to_string(append->part.part + 1) + " of " +
                 std::to_string(append->part.count) + " covering " +
                 std::to_string(append->part.covers));
    m_queue.push_back(
        {[this, node, incarnation, part = append->part](bool lost) {
          const bool reached = !log.outage && !nodes[node].log_unreachable;
          if (reached) {
            log.Append(part);
          }
          PostTo(node, incarnation,
                 config::Event{config::PartAppended{part.covers, part.part,
                                                    reached && !lost}});
        }});
  } else if (const auto* stale = std::get_if<config::StaleChanged>(&effect)) {
    AddTraceLine(Name(node) + (stale->stale ? " is stale" : " is fresh"));
  }
}

void ZoneSimulation::Apply(std::size_t node, const membership::Effect& effect) {
  const std::uint64_t incarnation = nodes[node].incarnation;
  if (const auto* probe = std::get_if<membership::SendProbe>(&effect)) {
    m_queue.push_back({[this, node, incarnation, sent = *probe](bool lost) {
      const std::size_t peer = IndexOf(sent.peer);
      if (lost || !Reachable(node, peer)) {
        AddTraceLine(Name(node) + " cannot probe " + sent.peer);
        MarkUnreachable(node, peer, incarnation);
        PostTo(node, incarnation,
               membership::Event{membership::ProbeFailed{sent.peer}});
        return;
      }
      m_replies[peer].reset();
      Post(peer, membership::Event{membership::ProbeReceived{sent.message}});
      if (!m_replies[peer]) {
        Fail("a probe got no reply", peer);
        return;
      }
      m_queue.push_back({[this, node, incarnation, sent,
                          reply = *m_replies[peer]](bool reply_lost) {
        if (reply_lost) {
          AddTraceLine(Name(node) + " gets no answer from " + sent.peer);
          MarkUnreachable(node, IndexOf(sent.peer), incarnation);
          PostTo(node, incarnation,
                 membership::Event{membership::ProbeFailed{sent.peer}});
          return;
        }
        PostTo(node, incarnation,
               membership::Event{
                   membership::ProbeReplyReceived{sent.peer, reply}});
      }});
    }});
  } else if (const auto* reply = std::get_if<membership::SendReply>(&effect)) {
    m_replies[node] = reply->message;
  } else if (const auto* gone = std::get_if<membership::ProcessGone>(&effect)) {
    std::uint64_t& highest = nodes[node].gone[gone->name];
    highest = std::max(highest, gone->incarnation);
    AddTraceLine(Name(node) + " hears that a process of " + gone->name +
                 " is gone");
  }
}

void ZoneSimulation::Check(std::size_t node) {
  Node& self = nodes[node];
  const config::State& state = self.state->config;
  CheckMembership(node);
  // Comparing all entries after every event would take most of the run's time.
  const std::pair checked{state.Offset(), state.applied};
  if (checked == self.checked && state.ready == self.was_ready) {
    return;
  }
  self.checked = checked;
  const auto& [version, entries] = log.At(state.Offset());
  if (state.reader.Fold().CurrentVersion() != version ||
      state.reader.Fold().Entries() != entries) {
    Fail("readers of the same prefix differ", node);
  }
  if (state.applied != self.version_in_force ||
      (state.applied > 0 && self.in_force != log.At(state.applied).second)) {
    Fail("the configuration in force is not an accepted one", node);
  }
  if (state.ready && !self.was_ready) {
    self.was_ready = true;
    AddTraceLine(Name(node) + " is ready with offset " +
                 std::to_string(state.Offset()));
    for (std::size_t other = 0; other < kNodes; ++other) {
      if (state.Offset() < self.needed[other]) {
        Fail("ready with an older configuration than a reachable peer", node);
      }
    }
  }
}

void ZoneSimulation::CheckMembership(std::size_t node) {
  const Node& self = nodes[node];
  for (const auto& [name, peer] : self.state->membership.peers) {
    const auto gone = self.gone.find(name);
    if (gone != self.gone.end() && peer.incarnation <= gone->second &&
        !membership::IsGone(peer.status)) {
      Fail("a process that left or died is alive again", node);
    }
  }
}

void ZoneSimulation::MarkUnreachable(std::size_t node,
                                     std::size_t peer,
                                     std::uint64_t incarnation) {
  if (nodes[node].incarnation == incarnation) {
    nodes[node].needed[peer] = 0;
  }
}

void ZoneSimulation::Fail(const std::string& rule, std::size_t node) {
  if (m_violation.empty()) {
    m_violation = rule + " at " + Name(node);
    AddTraceLine(m_violation);
  }
}

void ZoneSimulation::ReadLog(std::size_t node) {
  const std::uint64_t incarnation = nodes[node].incarnation;
  if (log.outage || nodes[node].log_unreachable) {
    return;
  }
  const config::Page page =
      log.PageFrom(nodes[node].state->config.reader.Next(), kPageLimit);
  const bool end = page.next == log.Next();
  const WallTime wall = kEpoch + std::chrono::duration_cast<WallTime::duration>(
                                     m_now.time_since_epoch());
  m_queue.push_back({[this, node, incarnation, page, end, wall](bool lost) {
    if (!lost) {
      PostTo(node, incarnation,
             config::Event{config::LogRead{page, end, wall}});
    }
  }});
}

void ZoneSimulation::Advance(Duration time) {
  m_now += time;
  for (std::size_t node = 0; node < kNodes; ++node) {
    const auto timer = nodes[node].state->NextTimer();
    if (timer && *timer <= m_now) {
      Post(node, TimerFired{});
    }
  }
}

void ZoneSimulation::SetPartitioned(std::size_t left,
                                    std::size_t right,
                                    bool partitioned) {
  if (left == right) {
    return;
  }
  const std::pair link{std::min(left, right), std::max(left, right)};
  if (!partitioned) {
    m_partitions.erase(link);
    return;
  }
  m_partitions.insert(link);
  // Readiness does not require the offset of an unreachable peer.
  nodes[left].needed[right] = 0;
  nodes[right].needed[left] = 0;
}

void ZoneSimulation::Publish(const config::ConfigChange& change,
                             bool lost,
                             bool twice) {
  if (log.outage || lost) {
    return;
  }
  log.Append(change);
  if (twice) {
    m_queue.push_back({[this, change](bool) { log.Append(change); }});
  }
}

void ZoneSimulation::Deliver(std::size_t index, bool lost) {
  if (m_queue.empty()) {
    return;
  }
  const auto position =
      m_queue.begin() + static_cast<std::ptrdiff_t>(index % m_queue.size());
  const PendingMessage message = std::move(*position);
  m_queue.erase(position);
  message.deliver(lost);
}

void ZoneSimulation::DeliverAll() {
  for (int i = 0; i < 2000 && !m_queue.empty(); ++i) {
    Deliver(0, false);
  }
}

void ZoneSimulation::Settle(int rounds) {
  for (int round = 0; round < rounds; ++round) {
    Advance(300ms);
    for (std::size_t node = 0; node < kNodes; ++node) {
      ReadLog(node);
    }
    DeliverAll();
  }
}

void ZoneSimulation::AddTraceLine(const std::string& line) {
  if (m_tracing) {
    m_trace +=
        std::to_string(m_now.time_since_epoch() / 1ms) + " ms  " + line + "\n";
  }
}

}  // namespace jasminehatch::testing
