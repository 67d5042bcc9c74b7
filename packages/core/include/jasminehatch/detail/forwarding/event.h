#ifndef JASMINEHATCH_DETAIL_FORWARDING_EVENT_H_
#define JASMINEHATCH_DETAIL_FORWARDING_EVENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/forwarding/cache_event.h"
#include "jasminehatch/detail/forwarding/configuration.h"
#include "jasminehatch/detail/forwarding/crash_suspects.h"
#include "jasminehatch/detail/forwarding/fleet_load.h"
#include "jasminehatch/detail/forwarding/options.h"

namespace jasminehatch::forwarding {

/// A configuration was read; versions that are not newer are ignored.
struct ConfigurationRead {
  Configuration configuration;
};

/// A read that showed the newest configuration was sent at this time.
struct ConfigurationConfirmed {
  MonotonicTime sent_at{};
};

/// @brief What an upstream says of itself in the registry.
struct UpstreamEntry {
  std::string id;
  std::string service;
  std::string address;  ///< `ip:port`.
  std::string zone;
  std::uint32_t slots = 1;
  bool draining = false;
  Duration cold_left{};  ///< Time for which it stays slow after its start.
  std::uint64_t orders_accepted = 0;  ///< Counts from its start.
  std::uint64_t started_at = 0;       ///< Tells starts under one id apart.
  std::map<std::string, std::uint64_t> weights;  ///< Version by model.
};

/// An upstream wrote its entry.
struct UpstreamRegistered {
  UpstreamEntry entry;
};

/// The entry of an upstream is gone.
struct UpstreamRemoved {
  std::string id;
};

/// All entries, read at once; upstreams without one are gone.
struct UpstreamsListed {
  std::vector<UpstreamEntry> entries;
};

/// The registry could not be read for a while, and now can.
struct RegistryRegained {};

/// New weights are to be used for a model.
struct WeightsNamed {
  std::string model;
  std::uint64_t version = 0;
  /// The naming was read as it happened, not found at a start.
  bool just_named = true;
};

/// @brief One part of a prompt.
struct PromptPart {
  std::string id;
  std::uint32_t tokens = 0;
};

/// @brief The prompt of a request as its caller describes it.
struct Prompt {
  std::string model;
  std::vector<PromptPart> parts;  ///< The last one is the request's own.
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  std::uint32_t output_hint = 0;  ///< The caller's estimate; 0 for none.
};

/// The settings were read again; requests in progress go on.
struct OptionsChanged {
  Options options;
};

/// A caller sent a request.
struct RequestReceived {
  RequestId request;
  std::string caller_id;  ///< The caller's own id of the request, for logs.
  std::string host;
  std::string path;
  std::string key;  ///< Empty when the caller sent none.
  std::optional<Prompt> prompt;
  std::optional<Duration> time_left;  ///< How long the caller will wait.
  std::string resume_after;           ///< Id of the last event it has.
  std::uint64_t fingerprint = 0;      ///< Of path, caller and body.
  std::uint64_t random = 0;
};

/// The caller closed its connection.
struct CallerLeft {
  RequestId request;
};

/// The first byte of a good answer arrived.
struct AnswerStarted {
  RequestId request;
  AttemptId attempt;
};

/// An upstream told its load with an answer.
struct LoadObserved {
  std::string upstream;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
};

/// An upstream showed which weights it has.
struct WeightsObserved {
  std::string upstream;
  std::string model;
  std::uint64_t version = 0;
};

/// An upstream starts or ends a change of weights and takes no requests.
struct UpstreamLoading {
  std::string upstream;
  bool loading = false;
};

/// @brief How an attempt ended.
enum class AttemptOutcome {
  kAnswered,       ///< A whole answer, which may be the upstream's failure.
  kFailedAnswer,   ///< A whole answer that says that the upstream failed.
  kNotSent,        ///< No byte was handed over.
  kNotRun,         ///< The upstream says that it did not run the request.
  kWrongUpstream,  ///< Another upstream has the address; it did not run.
  kWrongWeights,   ///< The upstream has other weights and did not run it.
  kBroken,         ///< The connection broke.
  kBadAnswer,      ///< The bytes received are no answer to this request.
  kTimedOut,
};

/// An attempt ended.
struct AttemptEnded {
  RequestId request;
  AttemptId attempt;
  AttemptOutcome outcome = AttemptOutcome::kAnswered;
  std::string last_event;  ///< Id of the last whole event of a stream.
  std::string detail;      ///< For logs.
};

/// How many other daemons there are.
struct PeersKnown {
  std::size_t count = 0;   ///< Live ones that report their load one by one.
  std::size_t recent = 0;  ///< Those that lived lately, dead ones included.
};

/// Another daemon met or heard of a crash.
struct CrashReported {
  CrashReport report;
};

/// The time returned by `State::NextTimer` has come.
struct TimerFired {};

using Event = std::variant<ConfigurationRead,
                           ConfigurationConfirmed,
                           UpstreamRegistered,
                           UpstreamRemoved,
                           UpstreamsListed,
                           RegistryRegained,
                           WeightsNamed,
                           OptionsChanged,
                           RequestReceived,
                           CallerLeft,
                           AnswerStarted,
                           LoadObserved,
                           WeightsObserved,
                           UpstreamLoading,
                           AttemptEnded,
                           CacheListed,
                           CacheChanged,
                           CacheStoreLost,
                           PeerLoadReported,
                           PeersKnown,
                           CrashReported,
                           TimerFired>;

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_EVENT_H_
