#include "jasminehatch/detail/forwarder/cache_store_follower.h"

#include <algorithm>
#include <array>
#include <asio/io_context.hpp>
#include <utility>
#include <vector>

#include "jasminehatch/detail/base/clock.h"
#include "jasminehatch/detail/forwarder/forwarding_host.h"
#include "jasminehatch/platform.h"
#include "jasminehatch/telemetry.h"

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

/// Parts of replaced weights are freed this long after the last engine has
/// switched to other weights. An engine starts no fetch that would wait for
/// more than two seconds, and its switch is observed when the new weights are
/// loaded, some hundred milliseconds after the last fetch can have started.
constexpr milliseconds kFreeDelay{2200};

/// Interval between checks for outdated parts while no read completes.
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
        Read();
      });
}

void CacheStoreFollower::Read() {
  const bool large_fleet = m_daemon_count > kMaxLongPollingDaemons;
  m_engines.ReadCacheChanges(
      m_address, m_next_change, large_fleet ? milliseconds(0) : kLongPollTime,
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
  m_next_change = page->next;
  m_shared_clock_ms = page->clock_ms;
  m_shared_clock_read_at = m_clock.Now();
  m_host.Apply(forwarding::CacheChanged{m_address, page->epoch, page->changes});
  FreeOutdatedParts();
  Schedule(
      m_daemon_count > kMaxLongPollingDaemons ? kLargeFleetPause : kReadPause,
      &CacheStoreFollower::Read);
}

void CacheStoreFollower::OnReadFailed() {
  m_host.Apply(forwarding::CacheStoreUnreachable{m_address});
  if (std::exchange(m_reachable, false)) {
    const std::array fields{DecisionLogField{"store", m_address}};
    m_log.Write(DecisionLog::Level::kState, "cache_store_lost", fields);
  }
}

void CacheStoreFollower::FreeOutdatedParts() {
  const forwarding::State& state = m_host.State();
  const auto store = state.stores.All().find(m_address);
  if (store == state.stores.All().end() ||
      !store->second.spec.externally_managed || m_shared_clock_ms == 0 ||
      m_clock.Now() > m_freeing_allowed_until) {
    m_outdated_parts_since.reset();
    return;
  }
  const auto outdated = state.stores.OutdatedParts(
      store->second, state.upstreams, kMaxFreedParts);
  if (outdated.empty()) {
    m_outdated_parts_since.reset();
    return;
  }
  const MonotonicTime now = m_clock.Now();
  if (!m_outdated_parts_since) {
    m_outdated_parts_since = now;
  }
  const milliseconds stagger = kFreeStagger * std::min(m_rank, kMaxFreeRank);
  if (now - *m_outdated_parts_since < kFreeDelay + stagger) {
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
  const auto clock_age = (now - m_shared_clock_read_at) / milliseconds(1);
  const std::uint64_t until = m_shared_clock_ms +
                              static_cast<std::uint64_t>(clock_age) +
                              kFreeValidityMs;
  m_engines.FreeParts(m_address, m_store_epoch, until, outdated,
                      [this, alive = std::weak_ptr<int>(m_alive), freed] {
                        if (!alive.expired()) {
                          m_host.Apply(freed);
                        }
                      });
  m_outdated_parts_since = now - kFreeDelay;
}

void CacheStoreFollower::ScheduleFreeCheck() {
  m_free_timer.expires_after(kFreeCheckInterval);
  m_free_timer.async_wait([this](const asio::error_code& error) {
    if (!error) {
      FreeOutdatedParts();
    }
  });
}

void CacheStoreFollower::Schedule(std::chrono::milliseconds delay,
                                  void (CacheStoreFollower::*next)()) {
  m_read_timer.expires_after(delay);
  m_read_timer.async_wait([this, next](const asio::error_code& error) {
    if (!error) {
      (this->*next)();
    }
  });
}

}  // namespace jasminehatch::daemon
