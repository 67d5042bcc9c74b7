// Fuzzes the event stream of an engine: splitting it at any place gives the
// same events, and each chunk becomes a valid event for the caller.

#include <jasminehatch/codec.h>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

using namespace jasminehatch;

namespace {

std::vector<std::string> ParseEvents(std::string_view head,
                                     std::string_view tail) {
  std::vector<std::string> events;
  codec::SseParser parser;
  const auto take = [&](std::string_view event) { events.emplace_back(event); };
  parser.Feed(head, take);
  parser.Feed(tail, take);
  return events;
}

void CheckChunk(const std::string& event, bool chat) {
  const auto chunk = codec::EngineChunk::Parse(event, chat);
  codec::ResponseFormatter format{chat, "id", "model", 1};
  const std::string formatted = format.FormatChunk(chunk.text, true);
  // "data: " before and two line ends after the document.
  if (!nlohmann::json::accept(
          std::string_view(formatted).substr(6, formatted.size() - 8))) {
    std::abort();
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  if (size == 0) {
    return 0;
  }
  const std::string_view text(reinterpret_cast<const char*>(data) + 1,
                              size - 1);
  const std::size_t cut = text.empty() ? 0 : data[0] % text.size();
  const auto events = ParseEvents(text, "");
  if (events != ParseEvents(text.substr(0, cut), text.substr(cut))) {
    std::abort();
  }
  for (const std::string& event : events) {
    try {
      CheckChunk(event, (data[0] & 1) != 0);
    } catch (const CodecError&) {
      // The daemon treats the attempt as broken.
    }
  }
  return 0;
}
