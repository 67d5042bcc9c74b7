#ifndef JASMINEHATCH_TELEMETRY_H_
#define JASMINEHATCH_TELEMETRY_H_

/// @file
/// @brief Umbrella header of the telemetry library: metrics and structured
/// logs.

#include "jasminehatch/detail/telemetry/decision_log.h"
#include "jasminehatch/detail/telemetry/metrics.h"
#include "jasminehatch/detail/telemetry/structured_log.h"

#endif  // JASMINEHATCH_TELEMETRY_H_
