#ifndef JASMINEHATCH_DETAIL_JSON_GOSSIP_MESSAGE_H_
#define JASMINEHATCH_DETAIL_JSON_GOSSIP_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "jasminehatch/detail/forwarding/fleet_load.h"

namespace jasminehatch::codec {

/// @brief A change of the weights of one upstream.
struct WeightsNews {
  std::string upstream;
  std::string model;
  std::uint64_t version = 0;  ///< That it has, or is getting.
  bool loading = false;       ///< The change is in progress.
};

/// @brief What one daemon tells another.
struct GossipMessage {
  std::string daemon;
  std::string address;  ///< `ip:port` of the sender.
  std::string zone;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;  ///< Rises with each message of an incarnation.
  std::vector<forwarding::UpstreamShare> shares;
  std::vector<WeightsNews> news;

  /// @return the message as MessagePack
  std::string Encode() const;

  /// @throw CodecError 236 when the bytes are no message
  static GossipMessage Decode(std::string_view bytes);
};

/// @brief Where a daemon can be reached, as it stands in the platform's store.
struct DaemonAddress {
  std::string address;
  std::string zone;
  std::uint64_t incarnation = 0;

  std::string Encode() const;

  /// @throw CodecError 237 when the text is no address record
  static DaemonAddress Decode(std::string_view text);
};

}  // namespace jasminehatch::codec

#endif  // JASMINEHATCH_DETAIL_JSON_GOSSIP_MESSAGE_H_
