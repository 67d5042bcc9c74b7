#include "jasminehatch/detail/forwarding/evacuated_zones.h"

#include <algorithm>
#include <iterator>

namespace jasminehatch::forwarding {

bool EvacuatedZones::Set(std::string_view zone, bool evacuated) {
  const auto found = m_zones.find(zone);
  if ((found != m_zones.end()) == evacuated) {
    return false;
  }
  if (evacuated) {
    m_zones.emplace(zone);
  } else {
    m_zones.erase(found);
  }
  return true;
}

EvacuatedZones::Changes EvacuatedZones::ReplaceAll(
    std::span<const std::string> zones) {
  const std::set<std::string, std::less<>> listed(zones.begin(), zones.end());
  Changes changes;
  std::set_difference(listed.begin(), listed.end(), m_zones.begin(),
                      m_zones.end(), std::back_inserter(changes.begun));
  std::set_difference(m_zones.begin(), m_zones.end(), listed.begin(),
                      listed.end(), std::back_inserter(changes.ended));
  m_zones = listed;
  return changes;
}

}  // namespace jasminehatch::forwarding
