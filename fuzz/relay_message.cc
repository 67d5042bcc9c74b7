// Fuzzes the decoding of relay datagrams, which may come from any sender.

#include <jasminehatch/codec.h>

#include <cstddef>
#include <cstdint>
#include <string_view>

using namespace jasminehatch;

namespace {

template <typename Message>
void DecodeTwice(std::string_view bytes) {
  try {
    const auto message = Message::Decode(bytes);
    // An accepted message can be encoded and decoded again.
    Message::Decode(message.Encode());
  } catch (const CodecError&) {
    // The daemon logs and ignores the datagram.
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  DecodeTwice<codec::RelayPoll>(bytes);
  DecodeTwice<codec::RelayAnswer>(bytes);
  return 0;
}
