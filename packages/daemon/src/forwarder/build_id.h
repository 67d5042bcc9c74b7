#ifndef JASMINEHATCH_DAEMON_SRC_FORWARDER_BUILD_ID_H_
#define JASMINEHATCH_DAEMON_SRC_FORWARDER_BUILD_ID_H_

#include <string_view>

namespace jasminehatch::daemon {

/// Commit of the sources when the build was configured, or "unknown".
extern const std::string_view kBuildId;

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DAEMON_SRC_FORWARDER_BUILD_ID_H_
