#ifndef JASMINEHATCH_DETAIL_FORWARDING_PEER_CONTACT_H_
#define JASMINEHATCH_DETAIL_FORWARDING_PEER_CONTACT_H_

#include <chrono>
#include <map>
#include <string>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::forwarding {

/// @brief For how long this daemon has received the messages of its peers
/// without an interruption.
///
/// A daemon that stood still or was cut off has missed messages, even if its
/// peers are heard again now. Contact is kept by zone, because in a large fleet
/// a single peer is heard only now and then.
class PeerContact {
 public:
  /// Silence of a zone from which messages of it may have been missed. A peer
  /// sends every 100 ms; from another zone of a large fleet, several messages
  /// arrive per second.
  static constexpr std::chrono::seconds kMaxSilence{1};

  /// A zone that has been silent for longer does not count any more.
  static constexpr std::chrono::seconds kMemory{60};

  /// Records a message of a peer in the zone.
  void OnHeard(const std::string& zone, MonotonicTime now);

  /// @return whether most of the zones that were heard lately have been heard
  /// without an interruption since then; false if there are none
  bool HasHeldSince(MonotonicTime since, MonotonicTime now) const;

 private:
  struct Zone {
    MonotonicTime heard_since{};  ///< Without an interruption.
    MonotonicTime heard_at{};
  };

  std::map<std::string, Zone> m_zones;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_PEER_CONTACT_H_
