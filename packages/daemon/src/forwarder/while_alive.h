#ifndef JASMINEHATCH_FORWARDER_WHILE_ALIVE_H_
#define JASMINEHATCH_FORWARDER_WHILE_ALIVE_H_

#include <memory>
#include <utility>

namespace jasminehatch::daemon {

/// @brief Makes a handler of an asynchronous operation that does nothing after
/// its owner was destroyed.
///
/// The handler of a timer that has expired is queued without an error. It still
/// runs if the timer is destroyed with its owner before its turn comes.
/// @param alive a member of the owner
template <typename Handler>
auto WhileAlive(const std::shared_ptr<int>& alive, Handler handler) {
  return [alive = std::weak_ptr<int>(alive),
          handler = std::move(handler)](const auto&... results) mutable {
    if (!alive.expired()) {
      handler(results...);
    }
  };
}

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_FORWARDER_WHILE_ALIVE_H_
