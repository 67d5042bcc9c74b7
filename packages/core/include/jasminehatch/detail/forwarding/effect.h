#ifndef JASMINEHATCH_DETAIL_FORWARDING_EFFECT_H_
#define JASMINEHATCH_DETAIL_FORWARDING_EFFECT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "jasminehatch/detail/base/counter.h"
#include "jasminehatch/detail/base/refusal.h"
#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/base/verdict.h"
#include "jasminehatch/detail/forwarding/configuration.h"
#include "jasminehatch/detail/forwarding/crash_suspects.h"

namespace jasminehatch::forwarding {

/// @brief What an upstream is told of the prompt's cached parts.
struct PromptOrder {
  std::string salt;  ///< Parts are found only under the same salt.
  std::uint64_t expected_version = 0;  ///< Other weights reject the request.
  /// For each part the address to fetch it from, or empty.
  std::vector<std::string> fetch;
  /// For each part the address of the store to save it to, or empty.
  std::vector<std::string> save;
};

/// Send the request to an upstream.
struct StartAttempt {
  RequestId request;
  AttemptId attempt;
  std::string upstream;  ///< Id.
  std::string address;
  MonotonicTime deadline{};
  std::optional<MonotonicTime> give_up_at;  ///< Time limit of this attempt.
  std::string workspace;                    ///< Empty on public routes.
  int priority = 5;
  Repeat repeat = Repeat::kOnce;
  std::optional<PromptOrder> prompt;
  std::string resume_after;
};

/// Stop an attempt; its answer is not wanted any more.
struct CancelAttempt {
  RequestId request;
  AttemptId attempt;
};

/// Hand the answer of the attempt to the caller.
struct DeliverAnswer {
  RequestId request;
  AttemptId attempt;
};

/// Refuse the request, or end a started answer so that it looks incomplete.
struct RefuseRequest {
  RequestId request;
  RefusalCode code = RefusalCode::kOverloaded;
  Verdict verdict = Verdict::kNotRun;
  std::string detail;
  std::optional<Duration> retry_after;
};

/// Tell the other daemons of a crash.
struct ShareCrash {
  CrashReport report;
};

/// @brief An input or the outcome of a decision.
struct DecisionField {
  std::string_view name;
  std::string value;
};

/// @brief A decision for the log, with what decided it.
struct LogDecision {
  std::string_view event;
  std::string request;  ///< The caller's id.
  std::vector<DecisionField> fields;
};

using Effect = std::variant<StartAttempt,
                            CancelAttempt,
                            DeliverAnswer,
                            RefuseRequest,
                            ShareCrash,
                            LogDecision,
                            CountEvent>;

using Effects = std::vector<Effect>;

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_EFFECT_H_
