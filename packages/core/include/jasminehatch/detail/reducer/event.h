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

/// The time returned by `jasminehatch::State::NextTimer` was reached. Forwarded
/// to all reducers, each of which has an event of the same name.
struct TimerFired {};

/// The daemon is stopping. Forwarded to the serving, booking and membership
/// reducers, each of which has an event of the same name.
struct ShutdownRequested {};

/// The platform's VM list, which holds name, URL and state of each VM, names
/// these VMs as leaving: they are about to be removed. A VM is matched with
/// every upstream that has its name or its URL.
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
