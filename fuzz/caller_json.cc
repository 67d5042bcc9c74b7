// Fuzzes the decoding of a caller's request body, and the encoding of the
// engine request that is built from it.

#include <jasminehatch/codec.h>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string_view>

using namespace jasminehatch;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  if (size == 0) {
    return 0;
  }
  const std::string_view body(reinterpret_cast<const char*>(data) + 1,
                              size - 1);
  try {
    const auto request =
        codec::CompletionRequest::Parse(body, (data[0] & 1) != 0);
    codec::EngineCallFields fields;
    fields.request_id = "r";
    fields.resume_from = data[0];
    // An accepted request always gives a valid body for the engine.
    if (!nlohmann::json::accept(codec::BuildEngineBody(request, fields))) {
      std::abort();
    }
  } catch (const CodecError&) {
    // The daemon responds with 400.
  }
  return 0;
}
