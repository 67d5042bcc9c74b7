#ifndef JASMINEHATCH_DETAIL_JSON_GOSSIP_MESSAGE_H_
#define JASMINEHATCH_DETAIL_JSON_GOSSIP_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jasminehatch/detail/base/log_position.h"
#include "jasminehatch/detail/forwarding/crash_suspects.h"
#include "jasminehatch/detail/forwarding/fleet_load.h"
#include "jasminehatch/detail/forwarding/part_verdict.h"
#include "jasminehatch/detail/forwarding/publication_age.h"
#include "jasminehatch/detail/forwarding/stream_origin.h"
#include "jasminehatch/detail/forwarding/upstream_failure_report.h"

namespace jasminehatch::codec {

/// @brief A change of the weights of one upstream.
struct WeightsUpdate {
  std::string upstream;
  std::string model;
  std::uint64_t version = 0;  ///< In use, or being loaded.
  bool loading = false;       ///< The upstream is loading it.
};

/// @brief A gossip message from one daemon to another.
struct GossipMessage {
  static constexpr double kMaxCapacity = 1e6;

  /// Maximum number of reports of failures; further ones are not decoded.
  static constexpr std::size_t kMaxUpstreamFailures = 64;

  /// Maximum number of origins of streams.
  static constexpr std::size_t kMaxStreamOrigins = 512;

  std::string daemon;
  std::string address;  ///< `ip:port` of the sender.
  std::string zone;
  std::uint64_t incarnation = 0;
  /// Increases with each message of an incarnation.
  std::uint64_t sequence = 0;
  /// Time of sending on the sender's own clock, in milliseconds.
  std::uint64_t sent_ms = 0;
  /// `sent_ms` of the newest message that the sender received from the
  /// receiver.
  std::uint64_t echo_ms = 0;
  /// Incarnation of the receiver that sent this message; its clock may have
  /// begun anew since. 0 from daemons of earlier releases.
  std::uint64_t echo_incarnation = 0;
  /// Position at which the operator records known to the sender end. Daemons of
  /// earlier releases send no epoch.
  LogPosition operator_end;
  /// Age of the sender's proof that no later operator record exists; nothing
  /// without a proof.
  std::optional<std::uint64_t> freshness_proof_age_ms;
  std::vector<forwarding::UpstreamLoad> loads;
  /// Relative processing capacity of the VM; only daemons that relay feeds
  /// report it.
  std::optional<double> capacity;
  bool covers_zone = false;  ///< `loads` are sums over all daemons of `zone`.
  std::vector<WeightsUpdate> weights_updates;
  std::vector<forwarding::CrashReport> crash_reports;
  bool stopping = false;  ///< The sender was asked to stop.
  /// Ages of published weight versions when the message was sent.
  std::vector<forwarding::PublicationAge> publications;
  std::vector<forwarding::PartVerdict> part_verdicts;
  std::vector<forwarding::UpstreamFailureReport> upstream_failures;
  /// Consecutive ones of one service and version are encoded together.
  std::vector<forwarding::StreamOrigin> stream_origins;

  /// `ip:port` at which the sender accepts forwarded requests; empty if it does
  /// not, or if it cannot reach any upstream.
  std::string forwarding_address;
  /// Version of the sender's configuration; 0 for none.
  std::uint64_t configuration_version = 0;

  /// @return the message as MessagePack
  std::string Encode() const;

  /// @throw CodecError 236 when the bytes are not a gossip message
  static GossipMessage Decode(std::string_view bytes);
};

/// @brief Address of a daemon, as it is kept in the platform's store.
struct DaemonAddress {
  std::string address;
  std::string zone;
  std::uint64_t incarnation = 0;

  std::string Encode() const;

  /// @throw CodecError 237 when the text is not an address record
  static DaemonAddress Decode(std::string_view text);
};

}  // namespace jasminehatch::codec

#endif  // JASMINEHATCH_DETAIL_JSON_GOSSIP_MESSAGE_H_
