#ifndef JASMINEHATCH_CORE_H_
#define JASMINEHATCH_CORE_H_

/// @file
/// @brief Umbrella header of the core library: a reducer that applies events to
/// the state of a daemon and returns the effects to execute as data.
///
/// @code
/// jasminehatch::State state;
/// for (const jasminehatch::Effect& effect : jasminehatch::Step(event, state))
/// {
///   Execute(effect);
/// }
/// @endcode

#include "jasminehatch/detail/base/clock.h"
#include "jasminehatch/detail/base/counter.h"
#include "jasminehatch/detail/base/digest.h"
#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/detail/base/random_sequence.h"
#include "jasminehatch/detail/base/refusal.h"
#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/base/verdict.h"
#include "jasminehatch/detail/booking/append_result.h"
#include "jasminehatch/detail/booking/batcher.h"
#include "jasminehatch/detail/booking/booking_index.h"
#include "jasminehatch/detail/booking/effect.h"
#include "jasminehatch/detail/booking/event.h"
#include "jasminehatch/detail/booking/state.h"
#include "jasminehatch/detail/booking/step.h"
#include "jasminehatch/detail/config/config_change.h"
#include "jasminehatch/detail/config/config_fold.h"
#include "jasminehatch/detail/config/config_reader.h"
#include "jasminehatch/detail/config/effect.h"
#include "jasminehatch/detail/config/event.h"
#include "jasminehatch/detail/config/record.h"
#include "jasminehatch/detail/config/snapshot_part.h"
#include "jasminehatch/detail/config/state.h"
#include "jasminehatch/detail/config/step.h"
#include "jasminehatch/detail/forwarding/answered_parts.h"
#include "jasminehatch/detail/forwarding/cache_event.h"
#include "jasminehatch/detail/forwarding/cache_salt.h"
#include "jasminehatch/detail/forwarding/cache_stores.h"
#include "jasminehatch/detail/forwarding/cache_use_window.h"
#include "jasminehatch/detail/forwarding/configuration.h"
#include "jasminehatch/detail/forwarding/configuration_lag.h"
#include "jasminehatch/detail/forwarding/crash_suspects.h"
#include "jasminehatch/detail/forwarding/effect.h"
#include "jasminehatch/detail/forwarding/event.h"
#include "jasminehatch/detail/forwarding/options.h"
#include "jasminehatch/detail/forwarding/part_suspects.h"
#include "jasminehatch/detail/forwarding/part_verdict.h"
#include "jasminehatch/detail/forwarding/placement.h"
#include "jasminehatch/detail/forwarding/publication_age.h"
#include "jasminehatch/detail/forwarding/removed_upstream_notices.h"
#include "jasminehatch/detail/forwarding/request.h"
#include "jasminehatch/detail/forwarding/retry_allowance.h"
#include "jasminehatch/detail/forwarding/route_table.h"
#include "jasminehatch/detail/forwarding/shared_clock.h"
#include "jasminehatch/detail/forwarding/stable_hash.h"
#include "jasminehatch/detail/forwarding/state.h"
#include "jasminehatch/detail/forwarding/step.h"
#include "jasminehatch/detail/forwarding/upstream.h"
#include "jasminehatch/detail/forwarding/upstream_directory.h"
#include "jasminehatch/detail/membership/effect.h"
#include "jasminehatch/detail/membership/event.h"
#include "jasminehatch/detail/membership/message.h"
#include "jasminehatch/detail/membership/state.h"
#include "jasminehatch/detail/membership/step.h"
#include "jasminehatch/detail/reducer/effect.h"
#include "jasminehatch/detail/reducer/event.h"
#include "jasminehatch/detail/reducer/state.h"
#include "jasminehatch/detail/reducer/step.h"
#include "jasminehatch/detail/relay/change_log.h"
#include "jasminehatch/detail/relay/coordinator.h"
#include "jasminehatch/detail/relay/feed_role.h"
#include "jasminehatch/detail/relay/reader_ranking.h"
#include "jasminehatch/detail/relay/record.h"
#include "jasminehatch/detail/relay/record_mirror.h"
#include "jasminehatch/detail/relay/standby.h"
#include "jasminehatch/detail/serving/effect.h"
#include "jasminehatch/detail/serving/event.h"
#include "jasminehatch/detail/serving/state.h"
#include "jasminehatch/detail/serving/step.h"

#endif  // JASMINEHATCH_CORE_H_
