#include "jasminehatch/detail/routing/warm_up_limiter.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "jasminehatch/detail/routing/fleet_members.h"
#include "jasminehatch/detail/routing/warm_up_spec.h"

namespace jasminehatch {
namespace {

/// Window of a share of a whole number of requests per second. It exceeds a
/// second, since requests of one daemon may come closer together than they were
/// sent: a VM with a small part of a core gets it in periods of 100 ms.
constexpr std::chrono::milliseconds kWindow{1100};

/// The limit exceeds the rate that is divided by at least this factor. The
/// reserve covers daemons that do not know of each other, and requests that
/// were held up on their way.
constexpr double kReserve = 1.5;

/// Largest rate that is told apart, in requests per second.
constexpr double kMaxRate = 1e6;

/// Longest window, which keeps the window of a tiny rate in the range of
/// `Duration`.
constexpr std::chrono::minutes kMaxWindow{5};

/// Time after which an upstream that was not asked for is forgotten; no sends
/// in a window may be forgotten.
constexpr Duration kUnusedTime = kMaxWindow;

/// @return the requests per second that the fleet sends to a cold upstream
double TargetRate(const WarmUpSpec& spec, const WarmUpDivision& division) {
  const double limit = spec.rate * division.factor + division.slack;
  return std::min({spec.rate, limit / kReserve, kMaxRate});
}

}  // namespace

WarmUpShare WarmUpLimiter::ShareOf(const std::string& upstream,
                                   const WarmUpSpec& spec,
                                   FleetMembers& members,
                                   const WarmUpDivision& division,
                                   MonotonicTime now) {
  const double rate = TargetRate(spec, division);
  WarmUpShare share;
  share.window = kWindow;
  if (!members.IsSettled(now) || rate <= 0) {
    return share;
  }
  members.Refresh(now);
  Entry& entry = m_upstreams[upstream];
  entry.used_at = now;
  if (entry.members_version != members.Version()) {
    entry.members_version = members.Version();
    entry.rank = members.RankOf(division.daemon, upstream);
  }
  if (rate < 1) {
    share.requests = entry.rank == 0 ? 1 : 0;
    share.window = std::chrono::duration_cast<Duration>(
        std::min<std::chrono::duration<double>>(kWindow / rate, kMaxWindow));
    return share;
  }
  const auto total = static_cast<std::size_t>(std::floor(rate));
  const std::size_t daemons =
      std::max<std::size_t>(members.Count() + 1, division.min_daemons);
  share.requests = total / daemons + (entry.rank < total % daemons ? 1 : 0);
  return share;
}

std::optional<MonotonicTime> WarmUpLimiter::RoomAt(const std::string& upstream,
                                                   const WarmUpShare& share,
                                                   MonotonicTime now) const {
  if (share.requests == 0) {
    return std::nullopt;
  }
  const auto found = m_upstreams.find(upstream);
  if (found == m_upstreams.end() ||
      found->second.sends.size() < share.requests) {
    return now;
  }
  const auto& sends = found->second.sends;
  return std::max(now, sends[sends.size() - share.requests] + share.window);
}

void WarmUpLimiter::RecordSend(const std::string& upstream,
                               const WarmUpShare& share,
                               MonotonicTime now) {
  DropUnused(now);
  Entry& entry = m_upstreams[upstream];
  entry.used_at = now;
  while (!entry.sends.empty() && entry.sends.front() + share.window <= now) {
    entry.sends.pop_front();
  }
  entry.sends.push_back(now);
}

void WarmUpLimiter::DropUnused(MonotonicTime now) {
  std::erase_if(m_upstreams, [now](const auto& entry) {
    return now - entry.second.used_at > kUnusedTime;
  });
}

}  // namespace jasminehatch
