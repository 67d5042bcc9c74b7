#ifndef JASMINEHATCH_DETAIL_FORWARDING_EVACUATED_ZONES_H_
#define JASMINEHATCH_DETAIL_FORWARDING_EVACUATED_ZONES_H_

#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jasminehatch::forwarding {

/// @brief The availability zones whose upstreams get no new requests because
/// the operators evacuate them.
///
/// Linear in the number of evacuated zones, of which there is usually none.
class EvacuatedZones {
 public:
  /// @brief Zones whose evacuation began or ended.
  struct Changes {
    std::vector<std::string> begun;
    std::vector<std::string> ended;
  };

  /// Begins or ends the evacuation of a zone.
  /// @return whether this is new
  bool Set(std::string_view zone, bool evacuated);

  /// Replaces all evacuated zones.
  Changes ReplaceAll(std::span<const std::string> zones);

  bool Contains(std::string_view zone) const {
    return !m_zones.empty() && m_zones.contains(zone);
  }

  const std::set<std::string, std::less<>>& All() const { return m_zones; }

 private:
  std::set<std::string, std::less<>> m_zones;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_EVACUATED_ZONES_H_
