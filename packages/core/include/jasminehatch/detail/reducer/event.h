#ifndef JASMINEHATCH_DETAIL_REDUCER_EVENT_H_
#define JASMINEHATCH_DETAIL_REDUCER_EVENT_H_

#include <string>
#include <variant>
#include <vector>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/booking/event.h"
#include "jasminehatch/detail/config/event.h"
#include "jasminehatch/detail/membership/event.h"
#include "jasminehatch/detail/serving/event.h"

namespace jasminehatch {

/// The time returned by `State::NextTimer` was reached; forwarded to all
/// reducers.
struct TimerFired {};

/// The daemon is stopping; forwarded to the serving, booking and membership
/// reducers.
struct ShutdownRequested {};

/// The VM list marked these VMs as leaving. A VM is matched with an upstream by
/// name or URL.
struct VmsLeaving {
  struct Vm {
    std::string name;
    std::string url;
  };
  std::vector<Vm> vms;
};

/// @brief Any event of a daemon, with its monotonic time.
struct Event {
  MonotonicTime at{};
  std::variant<serving::Event,
               booking::Event,
               config::Event,
               membership::Event,
               VmsLeaving,
               TimerFired,
               ShutdownRequested>
      body;
};

}  // namespace jasminehatch

#endif  // JASMINEHATCH_DETAIL_REDUCER_EVENT_H_
