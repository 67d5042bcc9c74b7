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

/// Reads that wait less are priced like health checks.
constexpr milliseconds kWait{900};

constexpr milliseconds kRetryDelay{300};

/// A store holds about a dozen waiting reads; with more daemons none waits, and
/// each reads at intervals shorter than a store needs to start again.
constexpr std::size_t kWaitingDaemons = 10;
constexpr milliseconds kCrowdedPause{700};

/// Pause between two reads, in which changes collect.
constexpr milliseconds kPause{60};

/// Parts of replaced weights are freed this long after the last engine has
/// left those weights. An engine starts no fetch that would wait over two
/// seconds, and its change is seen when the new weights are loaded, some
/// hundred milliseconds after the last fetch can have begun.
constexpr milliseconds kFreeDelay{2200};

/// How often unused parts are looked for between two reads.
constexpr milliseconds kFreeCheck{200};

/// A free is not carried out later than this after it was decided.
constexpr std::uint64_t kFreeTimeMs = 1500;

/// Daemons free parts one after another, this far apart, so that mostly only
/// the first one finds any.
constexpr milliseconds kFreeStep{500};
constexpr std::size_t kFreeSteps = 8;

/// Parts that one call frees.
constexpr std::size_t kFreeLimit = 500;

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
      m_timer(loop),
      m_free_timer(loop) {}

void CacheStoreFollower::List() {
  m_engines.ListCache(
      m_address, [this, alive = std::weak_ptr<int>(m_alive)](const auto& page) {
        if (alive.expired()) {
          return;
        }
        if (!page) {
          NoteLost();
          After(kRetryDelay, &CacheStoreFollower::List);
          return;
        }
        m_reachable = true;
        m_epoch = page->epoch;
        m_next = page->next;
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
  const bool crowded = m_daemons > kWaitingDaemons;
  m_engines.ReadCacheChanges(
      m_address, m_next, crowded ? milliseconds(0) : kWait,
      [this, alive = std::weak_ptr<int>(m_alive)](const auto& page) {
        if (!alive.expired()) {
          OnChanges(page);
        }
      });
}

void CacheStoreFollower::OnChanges(
    const std::optional<platform::CacheStorePage>& page) {
  if (!page) {
    NoteLost();
    After(kRetryDelay, &CacheStoreFollower::Read);
    return;
  }
  if (page->epoch != m_epoch || page->has_gap) {
    List();
    return;
  }
  m_reachable = true;
  m_next = page->next;
  m_clock_ms = page->clock_ms;
  m_clock_at = m_clock.Now();
  m_host.Apply(forwarding::CacheChanged{m_address, page->epoch, page->changes});
  FreeUnused();
  After(m_daemons > kWaitingDaemons ? kCrowdedPause : kPause,
        &CacheStoreFollower::Read);
}

void CacheStoreFollower::NoteLost() {
  m_host.Apply(forwarding::CacheStoreLost{m_address});
  if (std::exchange(m_reachable, false)) {
    const std::array fields{DecisionLogField{"store", m_address}};
    m_log.Write(DecisionLog::Level::kState, "cache_store_lost", fields);
  }
}

void CacheStoreFollower::FreeUnused() {
  const forwarding::State& state = m_host.State();
  const auto store = state.stores.All().find(m_address);
  if (store == state.stores.All().end() || !store->second.spec.managed_here ||
      m_clock_ms == 0 || m_clock.Now() > m_may_free_until) {
    m_unused_since.reset();
    return;
  }
  const auto unused =
      state.stores.Unused(store->second, state.upstreams, kFreeLimit);
  if (unused.empty()) {
    m_unused_since.reset();
    return;
  }
  const MonotonicTime now = m_clock.Now();
  if (!m_unused_since) {
    m_unused_since = now;
  }
  const milliseconds turn = kFreeStep * std::min(m_rank, kFreeSteps);
  if (now - *m_unused_since < kFreeDelay + turn) {
    CheckAgain();
    return;
  }
  const std::string count = std::to_string(unused.size());
  const std::array fields{DecisionLogField{"store", m_address},
                          DecisionLogField{"parts", count}};
  m_log.Write(DecisionLog::Level::kState, "cache_parts_freed", fields);
  // Some events never arrive, so that a free is not left to them alone.
  forwarding::CacheChanged freed{m_address, m_epoch, {}};
  for (const forwarding::CachedPart& part : unused) {
    freed.changes.push_back({false, part});
  }
  const auto clock_age = (now - m_clock_at) / milliseconds(1);
  const std::uint64_t until =
      m_clock_ms + static_cast<std::uint64_t>(clock_age) + kFreeTimeMs;
  m_engines.FreeParts(m_address, m_epoch, until, unused,
                      [this, alive = std::weak_ptr<int>(m_alive), freed] {
                        if (!alive.expired()) {
                          m_host.Apply(freed);
                        }
                      });
  m_unused_since = now - kFreeDelay;
}

void CacheStoreFollower::CheckAgain() {
  m_free_timer.expires_after(kFreeCheck);
  m_free_timer.async_wait([this](const asio::error_code& error) {
    if (!error) {
      FreeUnused();
    }
  });
}

void CacheStoreFollower::After(std::chrono::milliseconds delay,
                               void (CacheStoreFollower::*next)()) {
  m_timer.expires_after(delay);
  m_timer.async_wait([this, next](const asio::error_code& error) {
    if (!error) {
      (this->*next)();
    }
  });
}

}  // namespace jasminehatch::daemon
