#include "jasminehatch/detail/reducer/step.h"

#include <string>
#include <utility>

#include "jasminehatch/detail/booking/step.h"
#include "jasminehatch/detail/config/step.h"
#include "jasminehatch/detail/membership/step.h"
#include "jasminehatch/detail/reducer/state.h"
#include "jasminehatch/detail/serving/step.h"

namespace jasminehatch {
namespace {

template <typename ConcernEffects>
void Append(ConcernEffects effects, Effects& all) {
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
      TakeBack(*configured);
    }
    auto done = serving::Step(event, now, state.serving);
    if (const auto* report = std::get_if<serving::LoadReported>(&event)) {
      if (report->draining) {
        SpreadLeaving(state.serving.View(report->upstream).spec.name);
      }
    } else if (const auto* configured =
                   std::get_if<serving::UpstreamsConfigured>(&event)) {
      for (const serving::UpstreamSpec& spec : configured->upstreams) {
        // Every daemon reads the operator's mark from the configuration. It is
        // not shared by gossip, which could outlive a mark that was removed.
        if (spec.leaving) {
          Exclude(spec.name);
        }
      }
    }
    for (const serving::Effect& effect : done) {
      if (const auto* quarantine =
              std::get_if<serving::AnnounceQuarantine>(&effect)) {
        (*this)(membership::Event{membership::QuarantineLearned{
            quarantine->fingerprint, state.serving.options.quarantine_time}});
      }
    }
    Append(std::move(done), effects);
  }

  void operator()(const booking::Event& event) {
    Append(booking::Step(event, now, state.booking), effects);
  }

  void operator()(const config::Event& event) {
    auto done = config::Step(event, now, state.config);
    state.membership.config_offset = state.config.Offset();
    for (const config::Effect& effect : done) {
      if (const auto* ask = std::get_if<config::SurveyPeers>(&effect)) {
        (*this)(membership::Event{membership::SurveyRequested{ask->survey}});
      }
    }
    Append(std::move(done), effects);
  }

  void operator()(const membership::Event& event) {
    auto done = membership::Step(event, now, state.membership);
    for (const membership::Effect& effect : done) {
      std::visit([this](const auto& body) { Forward(body); }, effect);
    }
    Append(std::move(done), effects);
  }

  void operator()(const VmsLeaving& event) {
    for (const VmsLeaving::Vm& vm : event.vms) {
      for (const serving::UpstreamView& view : state.serving.upstreams) {
        if (view.spec.name == vm.name || view.spec.url == vm.url) {
          Leave(view.spec.name);
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

  void SpreadLeaving(const std::string& upstream) {
    (*this)(membership::Event{membership::LeavingLearned{upstream}});
  }

  /// Readmits upstreams whose leaving mark the operator removed. The VM list
  /// and load reports exclude them again if they still report them as leaving.
  void TakeBack(const serving::UpstreamsConfigured& configured) {
    for (const serving::UpstreamSpec& spec : configured.upstreams) {
      const auto entry = state.serving.upstreams_by_name.find(spec.name);
      if (entry == state.serving.upstreams_by_name.end()) {
        continue;
      }
      serving::UpstreamView& view = state.serving.View(entry->second);
      if (view.spec.leaving && !spec.leaving) {
        view.leaving = false;
        state.membership.leaving.erase(spec.name);
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
  void Leave(const std::string& upstream) {
    Exclude(upstream);
    SpreadLeaving(upstream);
  }

  void Forward(const membership::ProcessGone& notice) {
    (*this)(config::Event{config::PeerGone{notice.name}});
  }
  void Forward(const membership::OffsetHeard& notice) {
    (*this)(config::Event{config::PeerOffsetHeard{notice.peer, notice.offset}});
  }
  void Forward(const membership::LeavingHeard& notice) {
    Leave(notice.upstream);
  }
  void Forward(const membership::QuarantineHeard& notice) {
    Append(serving::Step(serving::QuarantineAnnounced{notice.fingerprint,
                                                      notice.remaining},
                         now, state.serving),
           effects);
  }
  void Forward(const membership::SurveyEnded& notice) {
    (*this)(config::Event{config::PeersSurveyed{notice.survey}});
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
