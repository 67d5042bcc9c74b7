#ifndef JASMINEHATCH_DETAIL_PROCESS_SIGNAL_RECEIVER_H_
#define JASMINEHATCH_DETAIL_PROCESS_SIGNAL_RECEIVER_H_

#include <functional>
#include <memory>
#include <span>

namespace asio {
class io_context;
}

namespace jasminehatch::net {

/// @brief Holds signals back until a receiver handles them.
///
/// A signal whose default action ends the process, such as SIGHUP, would do so
/// if it arrived before its handler is installed. A process that blocks its
/// signals first loses none: they stay pending until `SignalReceiver` unblocks
/// them. Signals that arrive before `main` still need to be blocked by the
/// process that starts this one; blocked signals are inherited.
/// @throw StateError 411 when the signals cannot be blocked
void BlockSignals(std::span<const int> signals);

/// @brief Receives signals on an Asio loop, including those that were held
/// back by `BlockSignals`.
class SignalReceiver {
 public:
  /// @param on_signal called on the loop with the number of each signal
  SignalReceiver(asio::io_context& loop,
                 std::span<const int> signals,
                 std::function<void(int)> on_signal);
  ~SignalReceiver();
  SignalReceiver(const SignalReceiver&) = delete;
  SignalReceiver& operator=(const SignalReceiver&) = delete;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace jasminehatch::net

#endif  // JASMINEHATCH_DETAIL_PROCESS_SIGNAL_RECEIVER_H_
