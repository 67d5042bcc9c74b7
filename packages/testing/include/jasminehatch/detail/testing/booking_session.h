#ifndef JASMINEHATCH_DETAIL_TESTING_BOOKING_SESSION_H_
#define JASMINEHATCH_DETAIL_TESTING_BOOKING_SESSION_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "jasminehatch/core.h"

namespace jasminehatch::testing {

/// @return one line of text, for example `append 1: intent entry-1/7/1 key k1`
std::string Describe(const booking::Effect& effect);

/// @return one line of text, for example `append 1 ended: unknown`
std::string Describe(const booking::Event& event);

/// @brief Feeds events to the booking reducers of named processes and records
/// events and effects as text.
class BookingSession {
 public:
  /// Starts a process, or restarts it with its state lost.
  void Start(const std::string& daemon, std::uint64_t incarnation);

  void Wait(std::chrono::milliseconds time) { m_now += time; }

  /// Adds a comment line to the text.
  void Note(std::string_view text);

  /// @return the effects of the event
  booking::Effects Send(const std::string& daemon, const booking::Event& event);

  /// A caller sends the key `k1` with a body.
  booking::Effects Arrive(const std::string& daemon,
                          std::uint64_t request,
                          std::uint8_t body = 1);

  /// The process reads these entries from the log.
  booking::Effects Read(const std::string& daemon,
                        std::vector<booking::LogEntry> entries);

  MonotonicTime Now() const { return m_now; }
  const booking::State& StateOf(const std::string& daemon) const {
    return m_states.at(daemon);
  }

  /// @return the events and effects recorded so far
  const std::string& Text() const { return m_text; }

 private:
  std::map<std::string, booking::State> m_states;
  MonotonicTime m_now{};
  std::string m_text;
};

/// @return the entries of the first append among the effects
/// @throw StateError 492 when there is none
std::vector<booking::LogEntry> EntriesOf(const booking::Effects& effects);

}  // namespace jasminehatch::testing

#endif  // JASMINEHATCH_DETAIL_TESTING_BOOKING_SESSION_H_
