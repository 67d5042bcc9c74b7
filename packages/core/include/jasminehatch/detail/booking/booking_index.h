#ifndef JASMINEHATCH_DETAIL_BOOKING_BOOKING_INDEX_H_
#define JASMINEHATCH_DETAIL_BOOKING_BOOKING_INDEX_H_

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/booking/log_entry.h"

namespace jasminehatch::booking {

/// @brief The state that follows from the records of the booking stream in log
/// order. It is equal in every reader of the same records, for keys that the
/// reader has not forgotten.
///
/// An intent wins if no earlier intent of its key is live at its offset. It is
/// live once it has won, until it is voided or its key is forgotten. An
/// intent that lost never wins later, since its process has acted on the loss
/// by then. A void record frees the key for the intents that follow it. Keys
/// that were created before the floor are forgotten, and an intent of such a
/// key never wins, so that a booking does not run again after its key was
/// forgotten.
class BookingIndex {
 public:
  /// @brief The live intent of a key and its outcome, if it has one.
  struct Entry {
    Intent intent;
    std::optional<Outcome> outcome;
  };

  /// @brief Effect of applying one entry.
  enum class Change {
    kNone,       ///< A duplicate, or an entry without effect.
    kWon,        ///< The intent became the live one of its key.
    kLost,       ///< An earlier intent of the key is live.
    kExpired,    ///< The key was created before the floor.
    kCompleted,  ///< The live intent of the key has its outcome.
    kVoided,     ///< The live intent of the key was voided.
  };

  BookingIndex() = default;
  // The buckets hold pointers into the table, so an index cannot be copied.
  BookingIndex(const BookingIndex&) = delete;
  BookingIndex& operator=(const BookingIndex&) = delete;
  BookingIndex(BookingIndex&&) = default;
  BookingIndex& operator=(BookingIndex&&) = default;
  ~BookingIndex() = default;

  /// Applies the next entry in log order. Basic exception guarantee; constant
  /// time on average.
  Change Apply(const LogEntry& entry);

  /// @return the live entry of a key, or null
  const Entry* Find(const BookingKey& key) const;

  /// Forgets keys whose creation time is before `limit`, rounded down to a full
  /// minute. The floor never decreases.
  /// @return whether the floor rose
  bool ForgetBefore(WallTime limit);

  /// @return creation time before which no key is remembered
  WallTime Floor() const { return m_floor; }

  /// @return keys with a live intent
  std::size_t Size() const { return m_live; }

  /// @return keys with a live, lost or voided intent
  std::size_t KeyCount() const { return m_keys.size(); }

 private:
  struct KeyState {
    std::optional<Entry> live;
    /// Lost and voided intents of the key, sorted. A duplicate of one of them
    /// must not win, and a void record may precede its intent.
    std::vector<IntentId> closed;
  };

  Change ApplyIntent(const Intent& intent);
  Change ApplyOutcome(const Outcome& outcome);
  Change ApplyVoid(const Void& entry);
  KeyState& KeyStateOf(const BookingKey& key, WallTime key_time);
  static bool Close(KeyState& state, const IntentId& id);

  std::unordered_map<BookingKey, KeyState> m_keys;
  std::map<WallTime, std::vector<const BookingKey*>>
      m_buckets;  ///< Keys by the minute of their creation.
  WallTime m_floor = WallTime::min();
  std::size_t m_live = 0;
};

}  // namespace jasminehatch::booking

#endif  // JASMINEHATCH_DETAIL_BOOKING_BOOKING_INDEX_H_
