#include "jasminehatch/detail/forwarder/zone_relay.h"

#include <algorithm>
#include <array>
#include <asio/io_context.hpp>
#include <chrono>
#include <utility>

#include "jasminehatch/codec.h"
#include "jasminehatch/detail/base/clock.h"
#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/detail/forwarder/peer_gossip.h"
#include "jasminehatch/detail/forwarder/relayed_feed.h"
#include "jasminehatch/telemetry.h"
#include "while_alive.h"

namespace jasminehatch::daemon {
namespace {

using relay::FeedRole;
using std::chrono::milliseconds;
using telemetry::DecisionLog;
using telemetry::DecisionLogField;

/// Interval at which the readers of the feeds are polled.
constexpr milliseconds kPollInterval{400};

/// Approximate limit of the size of an answer, in bytes. Larger datagrams are
/// more likely to be lost.
constexpr std::size_t kMaxAnswerBytes = 8000;

std::string_view ToString(FeedRole role) {
  static constexpr std::array<std::string_view, 3> kNames{"independent",
                                                          "reader", "follower"};
  return kNames.at(static_cast<std::size_t>(role));
}

/// @return the approximate size of a delta, in bytes
std::size_t SizeOf(const codec::FeedDelta& delta) {
  constexpr std::size_t kFieldBytes = 24;
  std::size_t bytes = kFieldBytes;
  for (const relay::Record& record : delta.records) {
    bytes += kFieldBytes + record.key.size() + record.value.size();
  }
  for (const forwarding::CacheChange& change : delta.changes) {
    bytes += kFieldBytes + change.part.salt.size() + change.part.id.size();
  }
  if (delta.part) {
    bytes += kFieldBytes + delta.part->key.size() + delta.part->bytes.size();
  }
  return bytes;
}

}  // namespace

ZoneRelay::ZoneRelay(asio::io_context& loop,
                     const Clock& clock,
                     PeerGossip& gossip,
                     telemetry::DecisionLog& log,
                     telemetry::Metrics& metrics,
                     relay::ReaderCandidate self)
    : m_clock(clock),
      m_gossip(gossip),
      m_log(log),
      m_metrics(metrics),
      m_name(self.name),
      m_coordinator(std::move(self)),
      m_timer(loop) {}

void ZoneRelay::AddFeed(const std::string& name, RelayedFeed& feed) {
  m_feeds[name] = {forwarding::FleetLoad::CompactId(name), &feed,
                   FeedRole::kIndependent};
  m_coordinator.AddFeed(name);
}

void ZoneRelay::RemoveFeed(const std::string& name) {
  m_feeds.erase(name);
  m_coordinator.RemoveFeed(name);
}

void ZoneRelay::Start() {
  m_gossip.SetDatagramHandler(
      {codec::RelayPoll::kMark, codec::RelayAnswer::kMark},
      [this](std::string_view bytes) { OnDatagram(bytes); });
  Tick();
}

void ZoneRelay::Stop() {
  m_timer.cancel();
}

void ZoneRelay::Tick() {
  UpdateRoles();
  m_timer.expires_after(kPollInterval);
  m_timer.async_wait(WhileAlive(m_alive, [this](const asio::error_code& error) {
    if (!error) {
      Tick();
    }
  }));
}

void ZoneRelay::UpdateRoles() {
  const MonotonicTime now = m_clock.Now();
  for (const auto& [name, feed] : m_feeds) {
    m_coordinator.OnReadPause(name, m_name, feed.feed->ReadPause(), now);
  }
  const auto plan = m_coordinator.Tick(m_gossip.Peers().LiveInZone(), now,
                                       m_gossip.Peers().RecentDaemonsInZone());
  for (; m_counted_unanswered < m_coordinator.UnansweredPolls();
       ++m_counted_unanswered) {
    m_metrics.Count(Counter::kRelayPollUnanswered);
  }
  for (const auto& [name, role] : plan.roles) {
    SetRole(name, m_feeds.at(name), role);
  }
  for (const relay::Coordinator::Poll& poll : plan.polls) {
    Send(poll);
  }
  for (const auto& [name, feed] : m_feeds) {
    feed.feed->DeferReads(m_coordinator.DeferredUntil(name, now));
  }
}

void ZoneRelay::SetRole(const std::string& name, Feed& feed, FeedRole role) {
  if (feed.role == role) {
    return;
  }
  feed.role = role;
  feed.feed->SetRole(role);
  m_metrics.Count(Counter::kRelayRoleChanged);
  const std::array fields{DecisionLogField{"feed", name},
                          DecisionLogField{"role", ToString(role)}};
  m_log.Write(DecisionLog::Level::kRoutine, "feed_role_changed", fields);
}

void ZoneRelay::Send(const relay::Coordinator::Poll& poll) {
  codec::RelayPoll message{m_name, poll.sequence, {}};
  for (const std::string& name : poll.feeds) {
    const auto found = m_feeds.find(name);
    if (found == m_feeds.end()) {
      continue;
    }
    if (auto position = found->second.feed->Position()) {
      position->feed = found->second.id;
      message.feeds.push_back(*position);
    }
  }
  m_gossip.SendDatagram(poll.reader, message.Encode());
}

void ZoneRelay::OnDatagram(std::string_view bytes) {
  try {
    if (bytes.front() == codec::RelayPoll::kMark) {
      OnPoll(codec::RelayPoll::Decode(bytes));
    } else {
      OnAnswer(codec::RelayAnswer::Decode(bytes));
    }
  } catch (const CodecError& error) {
    const std::array fields{DecisionLogField{"detail", error.what()}};
    m_log.Write(DecisionLog::Level::kNotable, "relay_invalid", fields);
  }
}

const ZoneRelay::Feed* ZoneRelay::Find(std::uint32_t id,
                                       std::string* name) const {
  const auto found =
      std::find_if(m_feeds.begin(), m_feeds.end(),
                   [id](const auto& entry) { return entry.second.id == id; });
  if (found == m_feeds.end()) {
    return nullptr;
  }
  if (name != nullptr) {
    *name = found->first;
  }
  return &found->second;
}

void ZoneRelay::OnPoll(const codec::RelayPoll& poll) {
  m_gossip.RecordDatagram(poll.daemon);
  codec::RelayAnswer answer{m_name, poll.sequence, {}};
  std::size_t bytes = 0;
  for (const codec::FeedPosition& position : poll.feeds) {
    const Feed* feed = Find(position.feed);
    if (feed == nullptr || bytes >= kMaxAnswerBytes) {
      continue;
    }
    auto delta = feed->feed->ChangesSince(position, kMaxAnswerBytes - bytes);
    const auto pause =
        std::chrono::ceil<milliseconds>(feed->feed->ReportedReadPause());
    if (!delta && pause > milliseconds::zero()) {
      // Without records, the daemon still tells that it cannot read.
      delta.emplace().status = codec::FeedDelta::Status::kMissing;
    }
    if (!delta) {
      continue;
    }
    delta->feed = position.feed;
    delta->read_pause_ms = static_cast<std::uint64_t>(pause.count());
    bytes += SizeOf(*delta);
    answer.feeds.push_back(std::move(*delta));
  }
  m_gossip.SendDatagram(poll.daemon, answer.Encode());
}

void ZoneRelay::OnAnswer(const codec::RelayAnswer& answer) {
  const auto sent_at = m_coordinator.OnAnswer(answer.daemon, answer.sequence);
  if (!sent_at) {
    return;
  }
  m_gossip.RecordDatagram(answer.daemon);
  m_metrics.Count(Counter::kRelayPollAnswered);
  std::vector<std::string> partial;
  bool reader_failed = false;
  for (const codec::FeedDelta& delta : answer.feeds) {
    std::string name;
    const Feed* feed = Find(delta.feed, &name);
    if (feed == nullptr) {
      continue;
    }
    reader_failed = OnDelta(answer.daemon, name, delta) || reader_failed;
    const auto before = feed->feed->Position();
    feed->feed->Accept(delta, *sent_at - milliseconds(delta.age_ms));
    // A part that was ignored is asked for again at the next tick.
    const bool progress = feed->feed->Position() != before;
    if (progress && delta.status == codec::FeedDelta::Status::kPartial) {
      partial.push_back(std::move(name));
    }
  }
  if (!partial.empty()) {
    Send(m_coordinator.PollAgain(answer.daemon, std::move(partial),
                                 m_clock.Now()));
  }
  if (reader_failed) {
    UpdateRoles();
  }
}

bool ZoneRelay::OnDelta(const std::string& daemon,
                        const std::string& name,
                        const codec::FeedDelta& delta) {
  const MonotonicTime now = m_clock.Now();
  const bool is_new = m_coordinator.OnReadPause(
      name, daemon, milliseconds(delta.read_pause_ms), now);
  if (is_new) {
    const std::string pause = std::to_string(delta.read_pause_ms);
    const std::array fields{DecisionLogField{"feed", name},
                            DecisionLogField{"reader", daemon},
                            DecisionLogField{"pause_ms", pause}};
    m_log.Write(DecisionLog::Level::kNotable, "feed_reader_failing", fields);
  }
  m_coordinator.OnFeedAnswered(name, now);
  m_feeds.at(name).feed->DeferReads(m_coordinator.DeferredUntil(name, now));
  return is_new;
}

}  // namespace jasminehatch::daemon
