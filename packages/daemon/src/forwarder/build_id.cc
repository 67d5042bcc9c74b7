#include "build_id.h"

namespace jasminehatch::daemon {

const std::string_view kBuildId = JASMINEHATCH_BUILD_ID;

}  // namespace jasminehatch::daemon
