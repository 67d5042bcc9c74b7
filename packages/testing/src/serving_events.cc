#include "jasminehatch/detail/testing/serving_events.h"

#include "jasminehatch/detail/testing/serving_checker.h"

namespace jasminehatch::testing {

serving::UpstreamsConfigured Engines(std::uint32_t count,
                                     std::uint32_t max_in_flight) {
  serving::UpstreamsConfigured event;
  for (std::uint32_t i = 0; i < count; ++i) {
    serving::UpstreamSpec spec;
    spec.name = "u" + std::to_string(i);
    spec.model = "m";
    spec.weight_version = "v1";
    spec.max_in_flight = max_in_flight;
    event.upstreams.push_back(spec);
  }
  return event;
}

serving::RequestArrived Prompt(std::uint64_t request,
                               const std::string& workspace) {
  serving::RequestArrived event;
  event.request = RequestId{request};
  event.workspace = workspace;
  event.model = "m";
  event.weight_version = "v1";
  event.prompt_tokens = 1000;
  event.fingerprint = NumberedDigest(request);
  event.random = request;
  return event;
}

serving::LoadReported Report(std::uint32_t upstream,
                             std::uint64_t incarnation,
                             const std::string& version,
                             Duration age) {
  serving::LoadReported event;
  event.upstream = UpstreamId{upstream};
  event.age = age;
  event.slots = 8;
  event.incarnation = incarnation;
  event.weight_version = version;
  return event;
}

serving::AttemptEnded Ended(std::uint64_t request,
                            std::uint64_t attempt,
                            serving::AttemptResult result) {
  return {RequestId{request}, AttemptId{attempt}, result, "test", std::nullopt};
}

serving::AttemptChunk Chunk(std::uint64_t request,
                            std::uint64_t attempt,
                            std::uint32_t position) {
  return {RequestId{request}, AttemptId{attempt}, position,
          ServingChecker::ResponseText(RequestId{request}, position)};
}

Digest NumberedDigest(std::uint64_t number) {
  Digest digest;
  // Spreads the number over all bytes, as in a hash value.
  std::uint64_t mixed = number * 0x9E3779B97F4A7C15ULL + 1;
  for (std::size_t i = 0; i < digest.bytes.size(); ++i) {
    mixed ^= mixed >> 29U;
    mixed *= 0xBF58476D1CE4E5B9ULL;
    digest.bytes[i] = static_cast<std::uint8_t>(mixed >> 56U);
  }
  return digest;
}

}  // namespace jasminehatch::testing
