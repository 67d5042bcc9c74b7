#ifndef JASMINEHATCH_DETAIL_JSON_RELAY_MESSAGE_H_
#define JASMINEHATCH_DETAIL_JSON_RELAY_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jasminehatch/detail/forwarding/cache_event.h"
#include "jasminehatch/detail/relay/record.h"
#include "jasminehatch/detail/relay/record_assembly.h"
#include "jasminehatch/detail/relay/record_part.h"

namespace jasminehatch::codec {

/// @brief How far a daemon knows a feed.
struct FeedPosition {
  std::uint32_t feed = 0;      ///< `FleetLoad::CompactId` of its name.
  std::uint64_t epoch = 0;     ///< Start of the source; 0 if it has only one.
  std::uint64_t position = 0;  ///< Offset or event number to read next.
  /// What was received of a large record; nothing from daemons that do not
  /// accept records in parts.
  std::optional<relay::RecordAssembly::Progress> large_record{};

  friend bool operator==(const FeedPosition&, const FeedPosition&) = default;
};

/// @brief What a daemon knows of a feed beyond a position.
struct FeedDelta {
  enum class Status : std::uint8_t {
    kComplete,  ///< All changes up to `position` are included.
    kPartial,   ///< Further changes follow at `position`.
    kMissing,   ///< There are changes that cannot be relayed.
    kCount,
  };

  std::uint32_t feed = 0;
  std::uint64_t epoch = 0;
  std::uint64_t position = 0;
  Status status = Status::kComplete;
  /// Time since the sender read that there is nothing after `position`.
  std::uint64_t age_ms = 0;
  /// Time since the source could be read again after an outage, if recent.
  std::optional<std::uint64_t> recovered_age_ms;
  std::vector<relay::Record> records;
  std::vector<forwarding::CacheChange> changes;
  /// Time on the clock that all upstreams share, in milliseconds, if the feed
  /// is of a cache store.
  std::optional<std::uint64_t> shared_clock_ms;
  /// Time for which the sender does not read the source because its reads fail;
  /// zero if they do not.
  std::uint64_t read_pause_ms = 0;
  /// Piece of the first record at or after `position`, if that is a large one.
  std::optional<relay::RecordPart> part;
};

/// @brief Asks a daemon of the same zone what it knows of some feeds.
struct RelayPoll {
  std::string daemon;          ///< Name of the sender.
  std::uint64_t sequence = 0;  ///< Comes back in the answer.
  std::vector<FeedPosition> feeds;

  /// First byte of the datagram; those of gossip begin otherwise.
  static constexpr char kMark = 'P';

  std::string Encode() const;

  /// @throw CodecError 238 for anything else
  static RelayPoll Decode(std::string_view bytes);
};

/// @brief Answer to a RelayPoll.
struct RelayAnswer {
  std::string daemon;          ///< Name of the sender.
  std::uint64_t sequence = 0;  ///< Of the poll.
  std::vector<FeedDelta> feeds;

  static constexpr char kMark = 'A';

  std::string Encode() const;

  /// @throw CodecError 239 for anything else
  static RelayAnswer Decode(std::string_view bytes);
};

}  // namespace jasminehatch::codec

#endif  // JASMINEHATCH_DETAIL_JSON_RELAY_MESSAGE_H_
