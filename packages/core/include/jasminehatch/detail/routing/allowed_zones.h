#ifndef JASMINEHATCH_DETAIL_ROUTING_ALLOWED_ZONES_H_
#define JASMINEHATCH_DETAIL_ROUTING_ALLOWED_ZONES_H_

#include <algorithm>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jasminehatch {

/// Region by availability zone.
using ZoneRegions = std::map<std::string, std::string, std::less<>>;

/// @brief The availability zones in which a request and its prompt parts may be
/// processed and stored (data residency).
///
/// All zones are allowed until it is restricted. A zone whose region is not
/// known is in no region. The views are of the keys of the map of regions,
/// which must outlive this object.
class AllowedZones {
 public:
  AllowedZones() = default;

  /// Removes the zones that are in none of the regions; an empty list is no
  /// restriction.
  void Restrict(std::span<const std::string> regions,
                const ZoneRegions& zone_regions);

  bool IsRestricted() const { return m_restricted; }

  /// Linear in the number of allowed zones.
  bool Contains(std::string_view zone) const {
    return !m_restricted ||
           std::find(m_zones.begin(), m_zones.end(), zone) != m_zones.end();
  }

 private:
  bool m_restricted = false;
  std::vector<std::string_view> m_zones;  ///< If it is restricted.
};

}  // namespace jasminehatch

#endif  // JASMINEHATCH_DETAIL_ROUTING_ALLOWED_ZONES_H_
