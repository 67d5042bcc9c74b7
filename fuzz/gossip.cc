// Fuzzes the decoding of gossip datagrams, which may come from any sender.

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
    // An accepted message can be encoded and decoded again.
    codec::GossipMessage::Decode(message.Encode());
  } catch (const CodecError&) {
    // The daemon logs and ignores the datagram.
  }
  return 0;
}
