#ifndef JASMINEHATCH_DAEMON_H_
#define JASMINEHATCH_DAEMON_H_

/// @file
/// @brief Umbrella header of the daemon library, which executes the reducer's
/// effects and turns I/O into events.

#include "jasminehatch/detail/daemon/daemon.h"
#include "jasminehatch/detail/forwarder/forwarder.h"

#endif  // JASMINEHATCH_DAEMON_H_
