#ifndef JASMINEHATCH_DETAIL_BOOKING_LOG_ENTRY_H_
#define JASMINEHATCH_DETAIL_BOOKING_LOG_ENTRY_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>

#include "jasminehatch/detail/base/digest.h"
#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::booking {

/// @brief Identity of a booking, which is a call of a plain service that must
/// run at most once: the workspace and the caller's idempotency key.
struct BookingKey {
  std::string workspace;
  std::string key;

  friend auto operator<=>(const BookingKey&, const BookingKey&) = default;
};

/// @brief Identity of an intent: the process that may dispatch it and a
/// sequence number of that process.
struct IntentId {
  std::string daemon;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;

  friend auto operator<=>(const IntentId&, const IntentId&) = default;
};

/// Records that a process intends to dispatch a booking.
struct Intent {
  IntentId id;
  BookingKey key;
  Digest body_digest;
  WallTime key_time{};  ///< Creation time that the idempotency key contains.
};

/// Records the upstream's response to a dispatched intent.
struct Outcome {
  IntentId id;
  BookingKey key;
  int status = 0;
  std::string content_type;
  std::string body;
  bool body_dropped =
      false;  ///< The body was too large to keep; only the status is known.
};

/// Records that an intent was not dispatched and never will be.
struct Void {
  IntentId id;
  BookingKey key;
  WallTime key_time{};  ///< Determines how long readers keep the void record.
};

using LogEntry = std::variant<Intent, Outcome, Void>;

}  // namespace jasminehatch::booking

template <>
struct std::hash<jasminehatch::booking::BookingKey> {
  std::size_t operator()(
      const jasminehatch::booking::BookingKey& key) const noexcept {
    const std::hash<std::string> hash_text;
    return hash_text(key.key) * 31U + hash_text(key.workspace);
  }
};

#endif  // JASMINEHATCH_DETAIL_BOOKING_LOG_ENTRY_H_
