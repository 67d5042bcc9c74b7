#include "jasminehatch/detail/forwarder/cache_store_follower.h"

#include <algorithm>
#include <array>
#include <asio/io_context.hpp>
#include <chrono>
#include <utility>
#include <vector>

#include "jasminehatch/detail/base/clock.h"
#include "jasminehatch/detail/forwarder/forwarding_host.h"
#include "jasminehatch/platform.h"
#include "jasminehatch/telemetry.h"
#include "while_alive.h"

namespace jasminehatch::daemon {
namespace {

using std::chrono::milliseconds;
using telemetry::DecisionLog;
using telemetry::DecisionLogField;

/// The platform charges for reads with a shorter wait as for health checks.
constexpr milliseconds kLongPollTime{900};

constexpr milliseconds kRetryDelay{300};

/// A store holds about a dozen waiting reads. With more daemons, no read waits;
/// each daemon polls at an interval shorter than the time a store takes to
/// restart.
constexpr std::size_t kMaxLongPollingDaemons = 10;
constexpr milliseconds kLargeFleetPause{700};

/// Pause between two reads, so that one read returns several changes.
constexpr milliseconds kReadPause{60};

/// Age of what a follower knows from which it reads by itself.
constexpr milliseconds kMaxRelayedAge{1500};

/// Interval at which a follower checks that.
constexpr milliseconds kRoleCheckInterval{200};

/// Approximate size of a change in a relayed answer, in bytes.
constexpr std::size_t kRelayedChangeBytes = 64;

/// Interval between checks for outdated parts while they wait for their turn
/// and no read completes.
constexpr milliseconds kFreeCheckInterval{200};

/// The store ignores a free request that arrives later than this after the
/// decision.
constexpr std::uint64_t kFreeValidityMs = 1500;

/// Daemons free parts one after another, this far apart, so that usually only
/// the first one finds any.
constexpr milliseconds kFreeStagger{500};
constexpr std::size_t kMaxFreeRank = 8;

/// Maximum number of parts that one call frees.
constexpr std::size_t kMaxFreedParts = 500;

}  // namespace

CacheStoreFollower::CacheStoreFollower(asio::io_context& loop,
                                       const Clock& clock,
                                       platform::EngineClient& engines,
                                       ForwardingHost& host,
                                       telemetry::DecisionLog& log,
                                       std::string address)
    : m_clock(clock),
      m_engines(engines),
      m_host(host),
      m_log(log),
      m_address(std::move(address)),
      m_read_timer(loop),
      m_free_timer(loop) {}

void CacheStoreFollower::List() {
  m_engines.ListCache(
      m_address, [this, alive = std::weak_ptr<int>(m_alive)](const auto& page) {
        if (alive.expired()) {
          return;
        }
        if (!page) {
          OnReadFailed();
          Schedule(kRetryDelay, &CacheStoreFollower::List);
          return;
        }
        m_reachable = true;
        m_store_epoch = page->epoch;
        m_next_change = page->next;
        forwarding::CacheListed listed{m_address, page->epoch, {}};
        for (const forwarding::CacheChange& change : page->changes) {
          listed.parts.push_back(change.part);
        }
        const std::string count = std::to_string(listed.parts.size());
        const std::array fields{DecisionLogField{"store", m_address},
                                DecisionLogField{"parts", count}};
        m_log.Write(DecisionLog::Level::kState, "cache_store_listed", fields);
        m_host.Apply(listed);
        OnClockRead(page->clock_ms);
        m_changes.Restart(page->epoch, page->next);
        m_known_at = m_clock.Now();
        ReadIfDue();
      });
}

CacheStoreFollower::ReadMode CacheStoreFollower::Mode() const {
  if (m_role == relay::FeedRole::kReader) {
    return {kLongPollTime, kReadPause};
  }
  return m_daemon_count > kMaxLongPollingDaemons
             ? ReadMode{milliseconds(0), kLargeFleetPause}
             : ReadMode{kLongPollTime, kReadPause};
}

void CacheStoreFollower::ReadIfDue() {
  const bool recent =
      m_known_at && m_clock.Now() - *m_known_at < kMaxRelayedAge;
  if (m_role == relay::FeedRole::kFollower && recent) {
    Schedule(kRoleCheckInterval, &CacheStoreFollower::ReadIfDue);
    return;
  }
  Read();
}

void CacheStoreFollower::Read() {
  m_engines.ReadCacheChanges(
      m_address, m_next_change, Mode().wait,
      [this, alive = std::weak_ptr<int>(m_alive)](const auto& page) {
        if (!alive.expired()) {
          OnChanges(page);
        }
      });
}

void CacheStoreFollower::OnChanges(
    const std::optional<platform::CacheStorePage>& page) {
  if (!page) {
    OnReadFailed();
    Schedule(kRetryDelay, &CacheStoreFollower::Read);
    return;
  }
  if (page->epoch != m_store_epoch || page->has_gap) {
    List();
    return;
  }
  m_reachable = true;
  if (page->next < m_next_change) {
    // Later changes were relayed while this read was in progress.
    Schedule(Mode().pause, &CacheStoreFollower::ReadIfDue);
    return;
  }
  m_next_change = page->next;
  m_known_at = m_clock.Now();
  m_host.Apply(forwarding::CacheChanged{m_address, page->epoch, page->changes});
  OnClockRead(page->clock_ms);
  m_changes.Add(page->next, page->changes);
  FreeOutdatedParts();
  Schedule(Mode().pause, &CacheStoreFollower::ReadIfDue);
}

std::optional<codec::FeedPosition> CacheStoreFollower::Position() const {
  if (!m_known_at) {
    return std::nullopt;
  }
  return codec::FeedPosition{0, m_store_epoch, m_next_change};
}

std::optional<codec::FeedDelta> CacheStoreFollower::ChangesSince(
    const codec::FeedPosition& position,
    std::size_t max_bytes) const {
  // A daemon that does not reach the store leaves the others to find out by
  // themselves.
  if (!m_known_at || !m_reachable) {
    return std::nullopt;
  }
  using Status = codec::FeedDelta::Status;
  codec::FeedDelta delta;
  delta.epoch = m_store_epoch;
  delta.position = m_next_change;
  delta.shared_clock_ms = m_host.State().shared_clock.At(m_clock.Now());
  delta.age_ms = static_cast<std::uint64_t>(
      std::chrono::ceil<milliseconds>(m_clock.Now() - *m_known_at).count());
  if (position.epoch == m_store_epoch && position.position > m_next_change) {
    return std::nullopt;
  }
  auto changes = m_changes.Since(position.epoch, position.position,
                                 max_bytes / kRelayedChangeBytes);
  if (!changes) {
    delta.status = Status::kMissing;
    return delta;
  }
  delta.position = changes->position;
  delta.changes = std::move(changes->changes);
  delta.status = changes->more ? Status::kPartial : Status::kComplete;
  return delta;
}

void CacheStoreFollower::Accept(const codec::FeedDelta& delta,
                                MonotonicTime known_at) {
  if (!m_known_at || m_role != relay::FeedRole::kFollower) {
    return;
  }
  if (delta.status == codec::FeedDelta::Status::kMissing) {
    // Its own next read finds the gap or the restart of the store.
    m_known_at = MonotonicTime{};
    return;
  }
  if (delta.epoch != m_store_epoch || delta.position < m_next_change) {
    return;
  }
  m_next_change = delta.position;
  m_reachable = true;
  m_changes.Add(delta.position, delta.changes);
  m_host.Apply(
      forwarding::CacheChanged{m_address, m_store_epoch, delta.changes});
  OnClockRead(delta.shared_clock_ms.value_or(0));
  if (delta.status == codec::FeedDelta::Status::kComplete) {
    m_known_at = std::max(*m_known_at, known_at);
  }
}

void CacheStoreFollower::OnReadFailed() {
  m_host.Apply(forwarding::CacheStoreUnreachable{m_address});
  if (std::exchange(m_reachable, false)) {
    const std::array fields{DecisionLogField{"store", m_address}};
    m_log.Write(DecisionLog::Level::kState, "cache_store_lost", fields);
  }
}

void CacheStoreFollower::OnClockRead(std::uint64_t clock_ms) {
  if (clock_ms != 0) {
    m_host.Apply(forwarding::SharedClockRead{clock_ms});
  }
}

void CacheStoreFollower::FreeOutdatedParts() {
  const forwarding::State& state = m_host.State();
  const MonotonicTime now = m_clock.Now();
  const auto shared_clock_ms = state.shared_clock.At(now);
  const auto store = state.stores.All().find(m_address);
  if (store == state.stores.All().end() ||
      !store->second.spec.externally_managed || !shared_clock_ms ||
      m_role == relay::FeedRole::kFollower) {
    m_outdated_parts_since.reset();
    return;
  }
  const auto outdated = state.stores.OutdatedParts(
      store->second, state.cache_use, now, kMaxFreedParts);
  if (outdated.empty()) {
    m_outdated_parts_since.reset();
    return;
  }
  if (!m_outdated_parts_since) {
    m_outdated_parts_since = now;
  }
  const milliseconds stagger = kFreeStagger * std::min(m_rank, kMaxFreeRank);
  if (now - *m_outdated_parts_since < stagger) {
    ScheduleFreeCheck();
    return;
  }
  const std::string count = std::to_string(outdated.size());
  const std::array fields{DecisionLogField{"store", m_address},
                          DecisionLogField{"parts", count}};
  m_log.Write(DecisionLog::Level::kState, "cache_parts_freed", fields);
  // Applied here as well because the store's events may be lost.
  forwarding::CacheChanged freed{m_address, m_store_epoch, {}};
  for (const forwarding::CachedPart& part : outdated) {
    freed.changes.push_back({false, part});
  }
  m_engines.FreeParts(m_address, m_store_epoch,
                      *shared_clock_ms + kFreeValidityMs, outdated,
                      [this, alive = std::weak_ptr<int>(m_alive), freed] {
                        if (!alive.expired()) {
                          m_host.Apply(freed);
                        }
                      });
  m_outdated_parts_since = now;
}

void CacheStoreFollower::ScheduleFreeCheck() {
  m_free_timer.expires_after(kFreeCheckInterval);
  m_free_timer.async_wait(
      WhileAlive(m_alive, [this](const asio::error_code& error) {
        if (!error) {
          FreeOutdatedParts();
        }
      }));
}

void CacheStoreFollower::Schedule(std::chrono::milliseconds delay,
                                  void (CacheStoreFollower::*next)()) {
  m_read_timer.expires_after(delay);
  m_read_timer.async_wait(
      WhileAlive(m_alive, [this, next](const asio::error_code& error) {
        if (!error) {
          (this->*next)();
        }
      }));
}

}  // namespace jasminehatch::daemon
