#ifndef JASMINEHATCH_EMULATOR_SRC_JSON_RESPONSE_H_
#define JASMINEHATCH_EMULATOR_SRC_JSON_RESPONSE_H_

#include "jasminehatch/detail/http/response_writer.h"

namespace jasminehatch::emulator {

/// Headers of a JSON response.
inline const net::HttpHeaders kJsonHeaders{
    {"Content-Type", "application/json"}};

/// Body of the response to an administrative request that is not a JSON object.
inline constexpr char kExpectedObject[] =
    R"({"error":"expected a JSON object"})";

}  // namespace jasminehatch::emulator

#endif  // JASMINEHATCH_EMULATOR_SRC_JSON_RESPONSE_H_
