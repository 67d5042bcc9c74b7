#ifndef JASMINEHATCH_DETAIL_ROUTING_FLEET_MEMBERS_H_
#define JASMINEHATCH_DETAIL_ROUTING_FLEET_MEMBERS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch {

/// @brief The other daemons that may be sending requests, whether or not this
/// daemon can hear them.
///
/// Silence alone does not end a membership: a daemon that is cut off from its
/// peers still sends. A silent daemon is left out only if its zone was heard
/// all the time, or after it announced its stop.
class FleetMembers {
 public:
  /// Time from the first read of the daemons' addresses until this daemon may
  /// count on its view. By then, the others have heard of this daemon, and
  /// requests of an earlier process of its name are no longer counted.
  static constexpr std::chrono::seconds kSettleTime{3};

  /// Time for which a daemon must be silent, and its zone heard, until it is
  /// left out. In the largest fleet, a daemon hears a given one of another zone
  /// every 15 s on average, and misses it for a minute in 2% of the cases.
  static constexpr std::chrono::minutes kSilenceLimit{5};

  /// The same for a daemon that announced its stop.
  static constexpr std::chrono::minutes kStoppedSilenceLimit{1};

  /// Records that the topic of daemon addresses was read.
  void OnListRead(MonotonicTime now) {
    m_list_read_at = m_list_read_at.value_or(now);
  }

  /// Records a daemon that the topic lists.
  void OnListed(const std::string& daemon,
                const std::string& zone,
                MonotonicTime now);

  /// Records a message of a daemon.
  void OnHeard(const std::string& daemon,
               const std::string& zone,
               bool stopping,
               MonotonicTime now);

  /// Leaves out daemons that have ended. Does nothing if it was called within
  /// the last second.
  void Refresh(MonotonicTime now);

  /// @return when this daemon may count on its view; nothing before the list
  /// was read
  std::optional<MonotonicTime> SettledAt() const {
    return m_list_read_at ? std::optional(*m_list_read_at + kSettleTime)
                          : std::nullopt;
  }

  /// @return whether the list was read at least `kSettleTime` ago
  bool IsSettled(MonotonicTime now) const {
    const auto settled_at = SettledAt();
    return settled_at && now >= *settled_at;
  }

  /// @return the number of other daemons that may be sending
  std::size_t Count() const { return m_count; }

  /// @return a number that changes with each change of the members
  std::uint64_t Version() const { return m_version; }

  /// @return the number of members with a higher rendezvous score for the
  /// upstream than `daemon`; linear in the number of members
  std::size_t RankOf(std::string_view daemon, std::string_view upstream) const;

 private:
  struct Member {
    std::string zone;
    MonotonicTime heard_at{};
    bool stopping = false;
    bool present = false;
  };

  struct Zone {
    MonotonicTime heard_since{};  ///< Without an interruption.
    MonotonicTime heard_at{};
  };

  void SetPresent(Member& member, bool present);
  bool HasEnded(const Member& member, MonotonicTime now) const;

  std::map<std::string, Member> m_members;
  std::map<std::string, Zone> m_zones;
  std::optional<MonotonicTime> m_list_read_at;
  std::optional<MonotonicTime> m_refreshed_at;
  std::size_t m_count = 0;  ///< Members that are present.
  std::uint64_t m_version = 1;
};

}  // namespace jasminehatch

#endif  // JASMINEHATCH_DETAIL_ROUTING_FLEET_MEMBERS_H_
