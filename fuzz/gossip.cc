// Fuzzes datagrams from other daemons, or from whoever sends to their port.

#include <jasminehatch/codec.h>

#include <cstddef>
#include <cstdint>
#include <string_view>

using namespace jasminehatch;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  try {
    const auto message = codec::GossipMessage::Decode(bytes);
    // What was accepted can be sent on and is accepted again.
    codec::GossipMessage::Decode(message.Encode());
  } catch (const CodecError&) {
    // Logged and ignored.
  }
  return 0;
}
