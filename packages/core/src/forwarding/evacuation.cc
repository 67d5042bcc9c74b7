#include <string>

#include "jasminehatch/detail/forwarding/state.h"
#include "reducer.h"

namespace jasminehatch::forwarding {

void Reducer::Apply(const EvacuationChanged& event) {
  if (m_state.evacuated_zones.Set(event.zone, event.evacuated)) {
    ReportEvacuation(event.zone, event.evacuated);
  }
}

void Reducer::Apply(const EvacuationsListed& event) {
  const EvacuatedZones::Changes changes =
      m_state.evacuated_zones.ReplaceAll(event.zones);
  for (const std::string& zone : changes.begun) {
    ReportEvacuation(zone, true);
  }
  for (const std::string& zone : changes.ended) {
    ReportEvacuation(zone, false);
  }
}

void Reducer::ReportEvacuation(const std::string& zone, bool evacuated) {
  m_effects.emplace_back(CountEvent{evacuated ? Counter::kZoneEvacuated
                                              : Counter::kZoneEvacuationEnded});
  Log(evacuated ? "zone_evacuated" : "zone_evacuation_ended",
      {{"zone", zone},
       {"evacuated_zones",
        std::to_string(m_state.evacuated_zones.All().size())}});
}

}  // namespace jasminehatch::forwarding
