#include "jasminehatch/detail/process/signal_receiver.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <utility>

#include "jasminehatch/detail/base/exception.h"

namespace jasminehatch::net {
namespace {

void ChangeSignalMask(int how, std::span<const int> signals) {
  sigset_t set;
  sigemptyset(&set);
  for (const int signal : signals) {
    sigaddset(&set, signal);
  }
  if (pthread_sigmask(how, &set, nullptr) != 0) {
    throw StateError(411, "cannot change the signal mask");
  }
}

}  // namespace

void BlockSignals(std::span<const int> signals) {
  ChangeSignalMask(SIG_BLOCK, signals);
}

class SignalReceiver::Impl {
 public:
  Impl(asio::io_context& loop,
       std::span<const int> signals,
       std::function<void(int)> on_signal)
      : m_signals(loop), m_on_signal(std::move(on_signal)) {
    for (const int signal : signals) {
      m_signals.add(signal);
    }
    Wait();
    ChangeSignalMask(SIG_UNBLOCK, signals);
  }

 private:
  void Wait() {
    m_signals.async_wait([this](const asio::error_code& error, int number) {
      if (!error) {
        Wait();
        m_on_signal(number);
      }
    });
  }

  asio::signal_set m_signals;
  std::function<void(int)> m_on_signal;
};

SignalReceiver::SignalReceiver(asio::io_context& loop,
                               std::span<const int> signals,
                               std::function<void(int)> on_signal)
    : m_impl(std::make_unique<Impl>(loop, signals, std::move(on_signal))) {}

SignalReceiver::~SignalReceiver() = default;

}  // namespace jasminehatch::net
