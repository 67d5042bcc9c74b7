#ifndef JASMINEHATCH_DETAIL_TESTING_BOOKING_SIMULATION_H_
#define JASMINEHATCH_DETAIL_TESTING_BOOKING_SIMULATION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "jasminehatch/core.h"
#include "jasminehatch/detail/testing/booking_action.h"
#include "jasminehatch/detail/testing/fake_booking_service.h"
#include "jasminehatch/detail/testing/fake_log.h"

namespace jasminehatch::testing {

/// @brief Simulates a zone of daemons that book through one log and one
/// service. Messages in flight are kept in one pool and arrive in any order.
///
/// Each step checks the invariants of the booking reducer against a record of
/// what the service ran and which responses the callers got.
class BookingSimulation {
 public:
  /// @param seed chooses the wall clock offsets of the processes
  BookingSimulation(std::size_t processes, std::uint64_t seed);

  /// Applies one action.
  /// @throw StateError 491 when an invariant is broken
  void Apply(const BookingAction& action);

  /// Ends all faults and lets every process finish.
  /// @throw StateError 491 when an invariant is broken or a caller of a live
  /// process is left without a response
  void Settle();

  /// Sends each key once more to a restarted process and settles again.
  /// @throw StateError 491
  void ResendAll();

  /// Checks that each key that was sent ran exactly once and that each caller
  /// got a response, which holds when there were no faults.
  /// @throw StateError 491
  void CheckEachRanOnce() const;

  const FakeBookingService& Service() const { return m_service; }
  std::uint64_t Refusals() const { return m_refusals; }
  std::uint64_t Responses() const { return m_responses; }

 private:
  struct Process {
    booking::State state;
    std::uint64_t start = 0;  ///< Number of this start, never reused.
    std::size_t offset = 0;
    bool alive = true;
    bool paused = false;
    Duration clock_offset{};
    std::set<booking::IntentId> read_back;
  };

  /// An effect or event in flight between a process and the outside. Messages
  /// of a dead process are dropped, except for appends, replies to handoffs and
  /// dispatches that were already sent.
  struct Message {
    struct SentDispatch {
      booking::Dispatch dispatch;
    };
    std::size_t process = 0;
    std::uint64_t start = 0;
    std::variant<booking::AppendEntries,
                 booking::ReplyToHandoff,
                 booking::Dispatch,
                 SentDispatch,
                 booking::Event>
        body;
  };

  struct Request {
    booking::BookingKey key;
    std::size_t process = 0;
    std::uint64_t start = 0;
    std::optional<MonotonicTime> deadline;
    std::uint8_t body = 0;
    bool closed = false;   ///< Completed, refused or cancelled.
    bool not_run = false;  ///< Refused with the verdict `not_run`.
    bool ran = false;      ///< The service ran its intent.
  };

  struct Key {
    booking::BookingKey key;
    WallTime created{};
    std::optional<std::string> response_body;
    std::optional<std::uint8_t> body;  ///< Of the request that ran.
  };

  /// What happens to a message.
  enum class DeliveryOutcome { kDelivered, kLost, kReplyLost, kRefused };

  Key& FindKey(const Request& request);
  const Key& ChooseKey(std::size_t process, std::uint8_t operand);
  void Send(std::size_t process,
            const Key& key,
            std::uint8_t body,
            std::optional<Duration> deadline);
  void Deliver(std::size_t index, DeliveryOutcome outcome, bool keep);
  void DeliverBody(const Message& message,
                   const booking::AppendEntries& body,
                   DeliveryOutcome outcome);
  void DeliverBody(const Message& message,
                   const booking::ReplyToHandoff& body,
                   DeliveryOutcome outcome);
  void DeliverBody(const Message& message,
                   const booking::Dispatch& body,
                   DeliveryOutcome outcome);
  void DeliverBody(const Message& message,
                   const Message::SentDispatch& body,
                   DeliveryOutcome outcome);
  void DeliverBody(const Message& message,
                   const booking::Event& body,
                   DeliveryOutcome outcome);
  void Reply(const Message& message,
             booking::Event event,
             DeliveryOutcome outcome);
  void Read(std::size_t process, std::size_t limit);
  void Tick(Duration step);
  void FireTimers();
  void Kill(std::size_t process);
  void Restart(std::size_t process);
  void NotifyGone(std::size_t process);
  void Step(std::size_t process, const booking::Event& event);
  void HandleEffects(std::size_t process, const booking::Effects& effects);
  void OnResponse(const booking::RespondToBooking& response);
  void OnRefusal(const booking::RefuseBooking& refusal);
  void OnDispatch(std::size_t process, const booking::Dispatch& dispatch);
  void CheckIdle() const;
  void CheckNoKeyIsBlocked() const;
  Request& Close(RequestId id, std::string_view what);
  bool CanReceive(const Message& message) const;
  bool IsRunning(std::size_t process) const;
  WallTime WallTimeOf(std::size_t process) const;
  [[noreturn]] static void Fail(const std::string& what);

  std::vector<Process> m_processes;
  std::vector<Message> m_messages;
  std::vector<Key> m_keys;
  std::map<RequestId, Request> m_requests;
  std::vector<RequestId> m_open;
  std::map<booking::IntentId, MonotonicTime> m_intent_sent_at;
  /// Intents that were not dispatched yet, with the process that appended them
  /// and the number of its start.
  std::map<booking::IntentId, std::pair<std::size_t, std::uint64_t>>
      m_undispatched;
  std::map<HandoffId, std::pair<Message, AppendId>> m_handoffs;
  FakeLog m_log;
  FakeBookingService m_service;
  MonotonicTime m_now{};
  std::uint64_t m_next_request = 1;
  std::uint64_t m_next_handoff = 1;
  std::uint64_t m_next_incarnation = 1;
  std::uint64_t m_next_start = 1;
  std::uint64_t m_refusals = 0;
  std::uint64_t m_responses = 0;
};

}  // namespace jasminehatch::testing

#endif  // JASMINEHATCH_DETAIL_TESTING_BOOKING_SIMULATION_H_
