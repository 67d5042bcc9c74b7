#include "jasminehatch/detail/testing/serving_text.h"

#include <cstdio>
#include <variant>

#include "jasminehatch/detail/base/refusal.h"

namespace jasminehatch::testing {
namespace {

using namespace serving;

std::string Decimal(std::uint64_t value) {
  return std::to_string(value);
}

std::string UpstreamText(UpstreamId id) {
  return " u" + Decimal(id.value);
}

std::string AttemptText(RequestId request, AttemptId attempt) {
  return " r" + Decimal(request.value) + " a" + Decimal(attempt.value);
}

std::string ShortHex(const Digest& digest) {
  return digest.ToHex().substr(0, 8);
}

std::string RetryAfterText(const std::optional<Duration>& wait) {
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
    std::string text = "arrived r" + Decimal(event.request.value) + " " +
                       event.workspace + " " + event.model;
    text += event.weight_version.empty() ? "" : " " + event.weight_version;
    text += " " + std::string(ToString(event.priority)) +
            " tokens=" + Decimal(event.prompt_tokens) +
            " keys=" + Decimal(event.keys.size()) +
            " print=" + ShortHex(event.fingerprint);
    return text;
  }
  std::string operator()(const RequestCancelled& event) const {
    return "cancelled r" + Decimal(event.request.value);
  }
  std::string operator()(const AttemptChunk& event) const {
    return "chunk" + AttemptText(event.request, event.attempt) + " #" +
           Decimal(event.position) + " \"" + event.text + "\"";
  }
  std::string operator()(const AttemptEnded& event) const {
    return "ended" + AttemptText(event.request, event.attempt) + " " +
           std::string(ToString(event.result)) +
           RetryAfterText(event.retry_after);
  }
  std::string operator()(const LoadReported& event) const {
    return "load" + UpstreamText(event.upstream) +
           " running=" + Decimal(event.running) +
           " incarnation=" + Decimal(event.incarnation) + " " +
           event.weight_version + " age=" + ToText(event.age) +
           (event.draining ? " draining" : "") +
           (event.loading ? " loading" : "");
  }
  std::string operator()(const UpstreamUnreachable& event) const {
    return "unreachable" + UpstreamText(event.upstream);
  }
  std::string operator()(const CacheChanged& event) const {
    std::string text = "cache" + UpstreamText(event.upstream);
    for (const CacheChange& change : event.changes) {
      text += " " + Decimal(change.sequence) + (change.stored ? "+" : "-") +
              ShortHex(change.key);
    }
    return text;
  }
  std::string operator()(const CacheListed& event) const {
    return "listing" + UpstreamText(event.upstream) + " as of " +
           Decimal(event.sequence) + " keys=" + Decimal(event.keys.size());
  }
  std::string operator()(const UpstreamLeaving& event) const {
    return "leaving" + UpstreamText(event.upstream);
  }
  std::string operator()(const StoresConfigured& event) const {
    std::string text = "stores";
    for (const StoreSpec& spec : event.stores) {
      text += " " + spec.name;
    }
    return text;
  }
  std::string operator()(const StoreContentChanged& event) const {
    return "store s" + Decimal(event.store.value) +
           (event.added ? " has keys=" : " dropped keys=") +
           Decimal(event.keys.size());
  }
  std::string operator()(const StoreLinkReported& event) const {
    return "link s" + Decimal(event.store.value) + " pending_bytes=" +
           Decimal(static_cast<std::uint64_t>(event.pending_bytes));
  }
  std::string operator()(const StoreUnreachable& event) const {
    return "store unreachable s" + Decimal(event.store.value);
  }
  std::string operator()(const QuarantineReceived& event) const {
    return "quarantine heard print=" + ShortHex(event.fingerprint) + " for " +
           ToText(event.remaining);
  }
  std::string operator()(const ShutdownRequested& /*event*/) const {
    return "shutdown";
  }
  std::string operator()(const TimerFired& /*event*/) const { return "timer"; }
  std::string operator()(const FleetConfigured& event) const {
    return "fleet of " + event.daemon +
           " others=" + Decimal(event.others.size());
  }
  std::string operator()(const DaemonHeard& event) const {
    return "heard " + event.daemon + (event.stopping ? " stopping" : "");
  }
};

struct EffectText {
  std::string operator()(const StartAttempt& effect) const {
    return "start" + AttemptText(effect.request, effect.attempt) +
           UpstreamText(effect.upstream) +
           (effect.resume_from > 0 ? " from #" + Decimal(effect.resume_from) +
                                         " after \"" + effect.resume_text + "\""
                                   : "") +
           (effect.import_from
                ? " import s" + Decimal(effect.import_from->value) +
                      " blocks=" + Decimal(effect.import_blocks)
                : "");
  }
  std::string operator()(const CancelAttempt& effect) const {
    return "cancel" + AttemptText(effect.request, effect.attempt) +
           UpstreamText(effect.upstream);
  }
  std::string operator()(const ForwardChunk& effect) const {
    return "forward r" + Decimal(effect.request.value) + " #" +
           Decimal(effect.position) + " \"" + effect.text + "\"";
  }
  std::string operator()(const FinishRequest& effect) const {
    return "finish r" + Decimal(effect.request.value);
  }
  std::string operator()(const RefuseRequest& effect) const {
    return "refuse r" + Decimal(effect.request.value) + " " +
           std::string(Describe(effect.code).name) + " " +
           std::string(ToString(effect.verdict)) +
           RetryAfterText(effect.retry_after);
  }
  std::string operator()(const ResyncCache& effect) const {
    return "resync" + UpstreamText(effect.upstream);
  }
  std::string operator()(const BroadcastQuarantine& effect) const {
    return "announce quarantine print=" + ShortHex(effect.fingerprint) +
           " for " + ToText(effect.remaining);
  }
  std::string operator()(const ReportCold& effect) const {
    return "cold" + UpstreamText(effect.upstream) + " " +
           std::string(effect.cause) + " left=" + ToText(effect.left) +
           " share=" + Decimal(effect.share.requests);
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
