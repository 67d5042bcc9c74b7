#ifndef JASMINEHATCH_CTL_H_
#define JASMINEHATCH_CTL_H_

/// @file
/// @brief Umbrella header of the operators' command line.

#include "jasminehatch/detail/ctl/command.h"
#include "jasminehatch/detail/ctl/config_client.h"
#include "jasminehatch/detail/ctl/load_command.h"
#include "jasminehatch/detail/ctl/load_options.h"
#include "jasminehatch/detail/ctl/load_report.h"
#include "jasminehatch/detail/ctl/load_run.h"
#include "jasminehatch/detail/ctl/sync_client.h"

#endif  // JASMINEHATCH_CTL_H_
