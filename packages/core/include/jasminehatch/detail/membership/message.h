#ifndef JASMINEHATCH_DETAIL_MEMBERSHIP_MESSAGE_H_
#define JASMINEHATCH_DETAIL_MEMBERSHIP_MESSAGE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "jasminehatch/detail/base/digest.h"

namespace jasminehatch::membership {

/// @brief Status of a member's process. Of two updates with the same refutation
/// count, the one whose status comes later in this order takes precedence.
enum class Status {
  kUnheard,  ///< Named by the settings; no update about it was received.
  kAlive,
  kSuspected,  ///< A probe failed; not refuted yet.
  kLeft,       ///< Announced that it stops.
  kDead,       ///< Suspected for longer than `Options::suspect_time`.
};

/// @return `unheard`, `alive`, `suspected`, `left` or `dead`
std::string_view ToString(Status status);

/// @return whether the status is final for the process; a later process of the
/// same name has a higher incarnation
constexpr bool IsGone(Status status) {
  return status == Status::kLeft || status == Status::kDead;
}

/// @brief Identity and status of a member, as exchanged by gossip. The
/// incarnation identifies a process; the refutation count orders the updates
/// about one process.
struct MemberUpdate {
  std::string name;
  std::uint64_t incarnation = 0;
  std::uint32_t refutation_count =
      0;  ///< Raised by the member itself to refute a suspicion.
  Status status = Status::kAlive;
};

/// A request that crashes upstreams and is refused for the remaining time.
struct Quarantine {
  Fingerprint fingerprint;
  std::chrono::seconds remaining{};
};

/// Limits for the items of each kind in one message. A full message takes about
/// 700 bytes, so that a daemon that sends two a second stays under 2 KB/s.
inline constexpr std::size_t kMaxMemberUpdates = 6;
inline constexpr std::size_t kMaxLeaving = 8;
inline constexpr std::size_t kMaxQuarantined = 6;

/// @brief A probe or the reply to it.
struct Message {
  std::string from;
  std::uint64_t incarnation = 0;
  std::uint32_t refutation_count = 0;
  std::uint64_t config_offset = 0;  ///< Last offset of the configuration stream
                                    ///< that the sender has read.
  std::vector<MemberUpdate> member_updates;
  std::vector<std::string> leaving_upstreams;  ///< Names of upstreams.
  std::vector<Quarantine> quarantined_requests;
};

}  // namespace jasminehatch::membership

#endif  // JASMINEHATCH_DETAIL_MEMBERSHIP_MESSAGE_H_
