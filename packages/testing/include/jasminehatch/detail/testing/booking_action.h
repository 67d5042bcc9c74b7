#ifndef JASMINEHATCH_DETAIL_TESTING_BOOKING_ACTION_H_
#define JASMINEHATCH_DETAIL_TESTING_BOOKING_ACTION_H_

#include <cstdint>
#include <iosfwd>
#include <string>

namespace jasminehatch::testing {

/// @brief One step of a BookingSimulation. The operands are reduced to the
/// valid range where they are used, so that every action is valid in every
/// state and sequences can be shrunk freely.
struct BookingAction {
  enum class Kind : std::uint8_t {
    kArrive,              ///< A caller sends key `b` to process `a`.
    kArriveWithDeadline,  ///< As kArrive, with a deadline of 1 s.
    kArriveOtherBody,     ///< As kArrive, with another body.
    kCancel,      ///< The caller of open request `a` closes its connection.
    kQuery,       ///< A caller asks process `a` for the stage of key `b`.
    kDeliver,     ///< Message `a` arrives.
    kLose,        ///< Message `a` is lost, or its reply is (odd `b`).
    kRefuse,      ///< Message `a` is rejected and provably not run.
    kDuplicate,   ///< Message `a` arrives and can arrive once more.
    kRead,        ///< Process `a` reads up to `b` records.
    kTick,        ///< Time passes; the step is chosen by `a`.
    kPause,       ///< Process `a` stops handling events.
    kResume,      ///< Process `a` handles events again.
    kKill,        ///< Process `a` is killed and loses its state.
    kRestart,     ///< Process `a` starts with a new incarnation.
    kNotifyGone,  ///< Process `a` is notified of ended processes.
    kNotifyZone,  ///< Process `a` is notified of the live daemons, the bits of
                  ///< `b`.
    kLogOutage,   ///< The log stops or starts accepting appends.
    kStop,        ///< Process `a` is asked to stop gracefully.
    kCount,
  };

  Kind kind = Kind::kTick;
  std::uint8_t a = 0;
  std::uint8_t b = 0;
};

/// @return for example `arrive 1 3`
std::string ToString(const BookingAction& action);

std::ostream& operator<<(std::ostream& stream, const BookingAction& action);

/// @brief Which actions a run may contain.
enum class BookingFaults { kNone, kAll };

/// @param random 64 random bits
/// @return an action; deliveries, reads and short waits are the most frequent,
/// so that bookings make progress between faults
BookingAction ChooseBookingAction(std::uint64_t random, BookingFaults faults);

}  // namespace jasminehatch::testing

#endif  // JASMINEHATCH_DETAIL_TESTING_BOOKING_ACTION_H_
