#ifndef JASMINEHATCH_TESTING_H_
#define JASMINEHATCH_TESTING_H_

/// @file
/// @brief Umbrella header of the test support: golden files, fakes and
/// simulations shared by tests and benchmarks.

#include "jasminehatch/detail/testing/booking_action.h"
#include "jasminehatch/detail/testing/booking_run.h"
#include "jasminehatch/detail/testing/booking_session.h"
#include "jasminehatch/detail/testing/booking_simulation.h"
#include "jasminehatch/detail/testing/event_queue.h"
#include "jasminehatch/detail/testing/fake_booking_service.h"
#include "jasminehatch/detail/testing/fake_engine.h"
#include "jasminehatch/detail/testing/fake_log.h"
#include "jasminehatch/detail/testing/fake_store.h"
#include "jasminehatch/detail/testing/fake_upstreams.h"
#include "jasminehatch/detail/testing/golden_file.h"
#include "jasminehatch/detail/testing/serving_checker.h"
#include "jasminehatch/detail/testing/serving_command.h"
#include "jasminehatch/detail/testing/serving_events.h"
#include "jasminehatch/detail/testing/serving_session.h"
#include "jasminehatch/detail/testing/serving_simulation.h"
#include "jasminehatch/detail/testing/serving_text.h"
#include "jasminehatch/detail/testing/workload.h"

#endif  // JASMINEHATCH_TESTING_H_
