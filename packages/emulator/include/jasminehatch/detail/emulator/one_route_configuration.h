#ifndef JASMINEHATCH_DETAIL_EMULATOR_ONE_ROUTE_CONFIGURATION_H_
#define JASMINEHATCH_DETAIL_EMULATOR_ONE_ROUTE_CONFIGURATION_H_

#include <string>

namespace jasminehatch::emulator {

/// @return a configuration as the operators write it, with the default limits
/// and one route that is not idempotent: `/once/` on host `h.example` to the
/// service `desk`
/// @param key API key of its only workspace
std::string OneRouteConfiguration(const std::string& key);

}  // namespace jasminehatch::emulator

#endif  // JASMINEHATCH_DETAIL_EMULATOR_ONE_ROUTE_CONFIGURATION_H_
