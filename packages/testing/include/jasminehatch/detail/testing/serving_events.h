#ifndef JASMINEHATCH_DETAIL_TESTING_SERVING_EVENTS_H_
#define JASMINEHATCH_DETAIL_TESTING_SERVING_EVENTS_H_

#include <cstdint>
#include <string>

#include "jasminehatch/detail/serving/event.h"

namespace jasminehatch::testing {

/// @return engines `u0`, `u1`, ... of model `m` and version `v1`
serving::UpstreamsConfigured Engines(std::uint32_t count,
                                     std::uint32_t max_in_flight = 2);

/// @return a prompt for model `m` and version `v1` of 1,000 tokens, with a
/// fingerprint of its own
serving::RequestArrived Prompt(std::uint64_t request,
                               const std::string& workspace = "w0");

/// @return a healthy report, taken `age` ago
serving::LoadReported Report(std::uint32_t upstream,
                             std::uint64_t incarnation = 1,
                             const std::string& version = "v1",
                             Duration age = {});

serving::AttemptEnded Ended(
    std::uint64_t request,
    std::uint64_t attempt,
    serving::AttemptResult result = serving::AttemptResult::kComplete);

/// @return the chunk with the text that ServingChecker expects
serving::AttemptChunk Chunk(std::uint64_t request,
                            std::uint64_t attempt,
                            std::uint32_t position);

/// @return a digest made from a number
Digest NumberedDigest(std::uint64_t number);

}  // namespace jasminehatch::testing

#endif  // JASMINEHATCH_DETAIL_TESTING_SERVING_EVENTS_H_
