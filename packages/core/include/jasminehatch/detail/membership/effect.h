#ifndef JASMINEHATCH_DETAIL_MEMBERSHIP_EFFECT_H_
#define JASMINEHATCH_DETAIL_MEMBERSHIP_EFFECT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "jasminehatch/detail/base/counter.h"
#include "jasminehatch/detail/base/digest.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/membership/message.h"

namespace jasminehatch::membership {

/// Sends a probe, which ends with `ProbeReplyReceived` or `ProbeFailed`.
struct SendProbe {
  std::string peer;
  Message message;
};

/// Replies to the probe that was received.
struct SendReply {
  Message message;
};

/// Reports that a process left, was declared dead or was replaced by one of a
/// higher incarnation.
struct ProcessGone {
  std::string name;
  std::uint64_t incarnation = 0;
};

/// Reports that a peer has read the configuration stream up to `offset`.
struct OffsetReceived {
  std::string peer;
  std::uint64_t offset = 0;
};

/// Reports that a message from a peer was the first to name the upstream as
/// leaving.
struct LeavingReceived {
  std::string upstream;
};

/// Reports that a message from a peer contained a quarantine that was not known
/// yet.
struct QuarantineReceived {
  Fingerprint fingerprint;
  Duration remaining{};
};

/// Reports that every peer has replied to a probe or failed since
/// `SurveyRequested`.
struct SurveyEnded {
  std::uint64_t survey = 0;
};

using Effect = std::variant<SendProbe,
                            SendReply,
                            ProcessGone,
                            OffsetReceived,
                            LeavingReceived,
                            QuarantineReceived,
                            SurveyEnded,
                            CountEvent>;

using Effects = std::vector<Effect>;

}  // namespace jasminehatch::membership

#endif  // JASMINEHATCH_DETAIL_MEMBERSHIP_EFFECT_H_
