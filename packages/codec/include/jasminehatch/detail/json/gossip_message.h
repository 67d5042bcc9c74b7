#ifndef JASMINEHATCH_DETAIL_JSON_GOSSIP_MESSAGE_H_
#define JASMINEHATCH_DETAIL_JSON_GOSSIP_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jasminehatch/detail/forwarding/crash_suspects.h"
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
  /// Sender's time when it sent the message, in milliseconds on its own clock.
  std::uint64_t sent_ms = 0;
  /// `sent_ms` of the newest message that the sender got from the receiver.
  std::uint64_t echo_ms = 0;
  /// Where the sender's records of the operators end.
  std::uint64_t operator_end = 0;
  /// Age of its proof that no later record exists; nothing without one.
  std::optional<std::uint64_t> proof_age_ms;
  std::vector<forwarding::UpstreamLoad> shares;
  bool whole_zone = false;  ///< `shares` are those of all daemons of `zone`.
  std::vector<WeightsNews> news;
  std::vector<forwarding::CrashReport> crashes;

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
