#ifndef JASMINEHATCH_DETAIL_MEMBERSHIP_EVENT_H_
#define JASMINEHATCH_DETAIL_MEMBERSHIP_EVENT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "jasminehatch/detail/base/digest.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/membership/message.h"

namespace jasminehatch::membership {

/// The process has started.
struct Started {
  std::string name;
  std::uint64_t incarnation = 0;
  std::uint64_t random = 0;        ///< Seed for the choice of peers to probe.
  std::vector<std::string> peers;  ///< Other daemons of the zone.
};

/// A peer probed this daemon; `SendReply` replies to it.
struct ProbeReceived {
  Message message;
};

/// A peer replied to a probe.
struct ProbeReplyReceived {
  std::string peer;
  Message message;
};

/// A peer did not reply to a probe in time.
struct ProbeFailed {
  std::string peer;
};

/// An upstream is leaving: the platform's VM list or a peer named it as
/// leaving, or its load report said that it is draining.
struct LeavingDetected {
  std::string upstream;
};

/// This daemon quarantined a request.
struct RequestQuarantined {
  Fingerprint fingerprint;
  Duration remaining{};
};

/// Another reducer requested a survey: all peers are probed now, and
/// `SurveyEnded` follows when each has replied or failed.
struct SurveyRequested {
  std::uint64_t survey = 0;  ///< Number that `SurveyEnded` carries as well.
};

/// The daemon is stopping.
struct ShutdownRequested {};

/// The time returned by `State::NextTimer` was reached.
struct TimerFired {};

using Event = std::variant<Started,
                           ProbeReceived,
                           ProbeReplyReceived,
                           ProbeFailed,
                           LeavingDetected,
                           RequestQuarantined,
                           SurveyRequested,
                           ShutdownRequested,
                           TimerFired>;

}  // namespace jasminehatch::membership

#endif  // JASMINEHATCH_DETAIL_MEMBERSHIP_EVENT_H_
