#ifndef JASMINEHATCH_DETAIL_FORWARDING_ZONE_BLOCK_H_
#define JASMINEHATCH_DETAIL_FORWARDING_ZONE_BLOCK_H_

namespace jasminehatch::forwarding {

/// @brief Why upstreams of a zone get no request although they could run it.
enum class ZoneBlock {
  kNone,
  kEvacuated,  ///< The operators evacuate the zone.
  kRegion,     ///< The zone is in no region that the request may use.
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_ZONE_BLOCK_H_
