#ifndef JASMINEHATCH_DETAIL_DAEMON_FORMAT_REQUEST_ID_H_
#define JASMINEHATCH_DETAIL_DAEMON_FORMAT_REQUEST_ID_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "jasminehatch/detail/base/strong_id.h"

namespace jasminehatch::daemon {

/// @return the request id shown to callers, engines and in logs; unique over
/// all daemon processes
inline std::string FormatRequestId(std::string_view daemon,
                                   std::uint64_t incarnation,
                                   RequestId id) {
  return std::string(daemon) + "-" + std::to_string(incarnation) + "-" +
         std::to_string(id.value);
}

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_DAEMON_FORMAT_REQUEST_ID_H_
