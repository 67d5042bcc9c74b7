#include "jasminehatch/detail/testing/serving_text.h"

#include <cstdio>
#include <variant>

#include "jasminehatch/detail/base/refusal.h"

namespace jasminehatch::testing {
namespace {

using namespace serving;

std::string Number(std::uint64_t value) {
  return std::to_string(value);
}

std::string Upstream(UpstreamId id) {
  return " u" + Number(id.value);
}

std::string Run(RequestId request, AttemptId attempt) {
  return " r" + Number(request.value) + " a" + Number(attempt.value);
}

std::string Print(const Digest& digest) {
  return digest.ToHex().substr(0, 8);
}

std::string RetryAfter(const std::optional<Duration>& wait) {
  return wait ? " retry_after=" + ToText(*wait) : "";
}

struct EventText {
  std::string operator()(const UpstreamsConfigured& event) const {
    std::string text = "configured";
    for (const UpstreamSpec& spec : event.upstreams) {
      text += " " + spec.name + "(" + spec.model;
      text +=
          spec.weight_version.empty() ? ")" : " " + spec.weight_version + ")";
    }
    return text;
  }
  std::string operator()(const RequestArrived& event) const {
    std::string text = "arrived r" + Number(event.request.value) + " " +
                       event.workspace + " " + event.model;
    text += event.weight_version.empty() ? "" : " " + event.weight_version;
    text += " " + std::string(ToString(event.priority)) +
            " tokens=" + Number(event.prompt_tokens) +
            " keys=" + Number(event.keys.size()) +
            " print=" + Print(event.fingerprint);
    return text;
  }
  std::string operator()(const RequestCancelled& event) const {
    return "cancelled r" + Number(event.request.value);
  }
  std::string operator()(const AttemptChunk& event) const {
    return "chunk" + Run(event.request, event.attempt) + " #" +
           Number(event.position) + " \"" + event.text + "\"";
  }
  std::string operator()(const AttemptEnded& event) const {
    return "ended" + Run(event.request, event.attempt) + " " +
           std::string(ToString(event.result)) + RetryAfter(event.retry_after);
  }
  std::string operator()(const LoadReported& event) const {
    return "load" + Upstream(event.upstream) +
           " running=" + Number(event.running) +
           " incarnation=" + Number(event.incarnation) + " " +
           event.weight_version + " age=" + ToText(event.age) +
           (event.draining ? " draining" : "") +
           (event.loading ? " loading" : "");
  }
  std::string operator()(const UpstreamUnreachable& event) const {
    return "unreachable" + Upstream(event.upstream);
  }
  std::string operator()(const CacheChanged& event) const {
    std::string text = "cache" + Upstream(event.upstream);
    for (const CacheChange& change : event.changes) {
      text += " " + Number(change.sequence) + (change.stored ? "+" : "-") +
              Print(change.key);
    }
    return text;
  }
  std::string operator()(const CacheListed& event) const {
    return "listing" + Upstream(event.upstream) + " as of " +
           Number(event.sequence) + " keys=" + Number(event.keys.size());
  }
  std::string operator()(const UpstreamLeaving& event) const {
    return "leaving" + Upstream(event.upstream);
  }
  std::string operator()(const StoresConfigured& event) const {
    std::string text = "stores";
    for (const StoreSpec& spec : event.stores) {
      text += " " + spec.name;
    }
    return text;
  }
  std::string operator()(const StoreContentChanged& event) const {
    return "store s" + Number(event.store.value) +
           (event.held ? " has keys=" : " dropped keys=") +
           Number(event.keys.size());
  }
  std::string operator()(const StoreLinkReported& event) const {
    return "link s" + Number(event.store.value) + " pending_bytes=" +
           Number(static_cast<std::uint64_t>(event.pending_bytes));
  }
  std::string operator()(const StoreUnreachable& event) const {
    return "store unreachable s" + Number(event.store.value);
  }
  std::string operator()(const QuarantineReceived& event) const {
    return "quarantine heard print=" + Print(event.fingerprint) + " for " +
           ToText(event.remaining);
  }
  std::string operator()(const ShutdownRequested& /*event*/) const {
    return "shutdown";
  }
  std::string operator()(const TimerFired& /*event*/) const { return "timer"; }
};

struct EffectText {
  std::string operator()(const StartAttempt& effect) const {
    return "start" + Run(effect.request, effect.attempt) +
           Upstream(effect.upstream) +
           (effect.resume_from > 0 ? " from #" + Number(effect.resume_from) +
                                         " after \"" + effect.resume_text + "\""
                                   : "") +
           (effect.import_from
                ? " import s" + Number(effect.import_from->value) +
                      " blocks=" + Number(effect.import_blocks)
                : "");
  }
  std::string operator()(const CancelAttempt& effect) const {
    return "cancel" + Run(effect.request, effect.attempt) +
           Upstream(effect.upstream);
  }
  std::string operator()(const ForwardChunk& effect) const {
    return "forward r" + Number(effect.request.value) + " #" +
           Number(effect.position) + " \"" + effect.text + "\"";
  }
  std::string operator()(const FinishRequest& effect) const {
    return "finish r" + Number(effect.request.value);
  }
  std::string operator()(const RefuseRequest& effect) const {
    return "refuse r" + Number(effect.request.value) + " " +
           std::string(Describe(effect.code).name) + " " +
           std::string(ToString(effect.verdict)) +
           RetryAfter(effect.retry_after);
  }
  std::string operator()(const ResyncCache& effect) const {
    return "resync" + Upstream(effect.upstream);
  }
  std::string operator()(const BroadcastQuarantine& effect) const {
    return "announce quarantine print=" + Print(effect.fingerprint) + " for " +
           ToText(effect.remaining);
  }
  std::string operator()(const CountEvent& effect) const {
    return "count " + std::string(ToString(effect.counter));
  }
};

}  // namespace

std::string ToText(Duration duration) {
  char text[40];
  std::snprintf(text, sizeof(text), "%g ms",
                std::chrono::duration<double, std::milli>(duration).count());
  return text;
}

std::string ToText(const serving::Event& event) {
  return std::visit(EventText{}, event);
}

std::string ToText(const serving::Effect& effect) {
  return std::visit(EffectText{}, effect);
}

}  // namespace jasminehatch::testing
