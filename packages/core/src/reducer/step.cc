#include "jasminehatch/detail/reducer/step.h"

#include <algorithm>
#include <string>
#include <utility>

#include "jasminehatch/detail/booking/step.h"
#include "jasminehatch/detail/config/step.h"
#include "jasminehatch/detail/membership/step.h"
#include "jasminehatch/detail/reducer/state.h"
#include "jasminehatch/detail/serving/booking_placement.h"
#include "jasminehatch/detail/serving/step.h"

namespace jasminehatch {
namespace {

template <typename ReducerEffects>
void Append(ReducerEffects effects, Effects& all) {
  for (auto& effect : effects) {
    all.emplace_back(std::move(effect));
  }
}

/// Dispatches the body of an event to its reducer and forwards effects of one
/// reducer that are events of another.
struct Dispatcher {
  MonotonicTime now;
  State& state;
  Effects effects;

  void operator()(const serving::Event& event) {
    if (const auto* configured =
            std::get_if<serving::UpstreamsConfigured>(&event)) {
      ReadmitUnmarked(*configured);
    }
    auto new_effects = serving::Step(event, now, state.serving);
    if (const auto* report = std::get_if<serving::LoadReported>(&event)) {
      if (report->draining) {
        ShareLeaving(state.serving.View(report->upstream).spec.name);
      }
    } else if (const auto* configured =
                   std::get_if<serving::UpstreamsConfigured>(&event)) {
      for (const serving::UpstreamSpec& spec : configured->upstreams) {
        // The leaving mark that an operator set is in the configuration, which
        // every daemon reads. It is not shared by gossip, since gossip could
        // spread it after the operator removed it.
        if (spec.leaving) {
          Exclude(spec.name);
        }
      }
    }
    for (const serving::Effect& effect : new_effects) {
      if (const auto* quarantine =
              std::get_if<serving::BroadcastQuarantine>(&effect)) {
        (*this)(membership::Event{membership::RequestQuarantined{
            quarantine->fingerprint, state.serving.options.quarantine_time}});
      }
    }
    Append(std::move(new_effects), effects);
  }

  void operator()(const booking::Event& event) {
    auto new_effects = booking::Step(event, now, state.booking);
    for (booking::Effect& effect : new_effects) {
      if (auto* dispatch = std::get_if<booking::Dispatch>(&effect)) {
        dispatch->upstream = serving::PlaceBooking(
            state.serving, dispatch->key.workspace, dispatch->service,
            dispatch->intent.sequence + dispatch->earlier_dispatches, now);
      }
    }
    Append(std::move(new_effects), effects);
  }

  void operator()(const config::Event& event) {
    auto new_effects = config::Step(event, now, state.config);
    state.membership.config_offset = state.config.Offset();
    for (const config::Effect& effect : new_effects) {
      if (const auto* request = std::get_if<config::SurveyPeers>(&effect)) {
        (*this)(
            membership::Event{membership::SurveyRequested{request->survey}});
      }
    }
    Append(std::move(new_effects), effects);
  }

  void operator()(const membership::Event& event) {
    std::visit([this](const auto& body) { RecordSender(body); }, event);
    auto new_effects = membership::Step(event, now, state.membership);
    for (const membership::Effect& effect : new_effects) {
      std::visit([this](const auto& body) { Forward(body); }, effect);
    }
    Append(std::move(new_effects), effects);
  }

  void operator()(const VmsLeaving& event) {
    for (const VmsLeaving::Vm& vm : event.vms) {
      for (const serving::UpstreamView& view : state.serving.upstreams) {
        if (view.spec.name == vm.name || view.spec.url == vm.url) {
          ExcludeAndShare(view.spec.name);
        }
      }
    }
  }

  void operator()(const TimerFired& /*event*/) {
    (*this)(serving::Event{serving::TimerFired{}});
    (*this)(booking::Event{booking::TimerFired{}});
    (*this)(config::Event{config::TimerFired{}});
    (*this)(membership::Event{membership::TimerFired{}});
  }

  void operator()(const ShutdownRequested& /*event*/) {
    (*this)(serving::Event{serving::ShutdownRequested{}});
    (*this)(booking::Event{booking::ShutdownRequested{}});
    (*this)(membership::Event{membership::ShutdownRequested{}});
  }

  void RecordSender(const membership::ProbeReceived& event) {
    RecordSender(event.message);
  }
  void RecordSender(const membership::ProbeReplyReceived& event) {
    RecordSender(event.message);
  }
  void RecordSender(const membership::Message& message) {
    if (message.from == state.serving.daemon) {
      return;
    }
    const auto& updates = message.member_updates;
    const bool stopping =
        std::any_of(updates.begin(), updates.end(), [&](const auto& update) {
          return update.name == message.from &&
                 update.status == membership::Status::kLeft;
        });
    (*this)(serving::Event{serving::DaemonHeard{message.from, stopping}});
  }
  template <typename Other>
  void RecordSender(const Other& /*event*/) {}

  void ShareLeaving(const std::string& upstream) {
    (*this)(membership::Event{membership::LeavingDetected{upstream}});
  }

  /// Readmits upstreams whose leaving mark an operator removed in the
  /// configuration. The platform's VM list and load reports exclude them again
  /// if they still name them as leaving.
  void ReadmitUnmarked(const serving::UpstreamsConfigured& configured) {
    for (const serving::UpstreamSpec& spec : configured.upstreams) {
      const auto entry = state.serving.upstreams_by_name.find(spec.name);
      if (entry == state.serving.upstreams_by_name.end()) {
        continue;
      }
      serving::UpstreamView& view = state.serving.View(entry->second);
      if (view.spec.leaving && !spec.leaving) {
        view.leaving = false;
        state.membership.leaving_upstreams.erase(spec.name);
      }
    }
  }

  void Exclude(const std::string& upstream) {
    const auto entry = state.serving.upstreams_by_name.find(upstream);
    if (entry != state.serving.upstreams_by_name.end() &&
        !state.serving.View(entry->second).leaving) {
      Append(serving::Step(serving::UpstreamLeaving{entry->second}, now,
                           state.serving),
             effects);
    }
  }

  /// Excludes the upstream from new requests and shares that it is leaving.
  void ExcludeAndShare(const std::string& upstream) {
    Exclude(upstream);
    ShareLeaving(upstream);
  }

  void Forward(const membership::ProcessGone& effect) {
    (*this)(config::Event{config::ProcessGone{effect.name}});
  }
  void Forward(const membership::OffsetReceived& effect) {
    (*this)(
        config::Event{config::PeerOffsetReceived{effect.peer, effect.offset}});
  }
  void Forward(const membership::LeavingReceived& effect) {
    ExcludeAndShare(effect.upstream);
  }
  void Forward(const membership::QuarantineReceived& effect) {
    Append(serving::Step(serving::QuarantineReceived{effect.fingerprint,
                                                     effect.remaining},
                         now, state.serving),
           effects);
  }
  void Forward(const membership::SurveyEnded& effect) {
    (*this)(config::Event{config::PeersSurveyed{effect.survey}});
  }
  template <typename Other>
  void Forward(const Other& /*effect*/) {}
};

}  // namespace

std::optional<MonotonicTime> State::NextTimer() const {
  std::optional<MonotonicTime> next;
  for (const auto time : {serving.NextTimer(), booking.NextTimer(),
                          config.NextTimer(), membership.NextTimer()}) {
    if (time && (!next || *time < *next)) {
      next = time;
    }
  }
  return next;
}

Effects Step(const Event& event, State& state) {
  Dispatcher dispatcher{event.at, state, {}};
  std::visit(dispatcher, event.body);
  return std::move(dispatcher.effects);
}

}  // namespace jasminehatch
