#ifndef JASMINEHATCH_EMULATOR_H_
#define JASMINEHATCH_EMULATOR_H_

/// @file
/// @brief Umbrella header of the emulators of outside systems, for tests and
/// experiments. Not shipped.

#include "jasminehatch/detail/emulator/endless_server.h"
#include "jasminehatch/detail/emulator/endless_writer.h"
#include "jasminehatch/detail/emulator/engine_emulator.h"
#include "jasminehatch/detail/emulator/free_address.h"
#include "jasminehatch/detail/emulator/log_emulator.h"
#include "jasminehatch/detail/emulator/loopback_host.h"
#include "jasminehatch/detail/emulator/one_route_configuration.h"
#include "jasminehatch/detail/emulator/platform_emulator.h"
#include "jasminehatch/detail/emulator/platform_wire.h"
#include "jasminehatch/detail/emulator/scripted_server.h"
#include "jasminehatch/detail/emulator/service_emulator.h"
#include "jasminehatch/detail/emulator/upstream_emulator.h"
#include "jasminehatch/detail/emulator/vm_list_emulator.h"

#endif  // JASMINEHATCH_EMULATOR_H_
