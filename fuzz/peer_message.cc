// Fuzzes messages of peers and the VM list; a decoded membership message is the
// same after another encoding and decoding.

#include <jasminehatch/codec.h>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "jasminehatch/detail/json/peer_message.h"
#include "try_decode.h"

using namespace jasminehatch;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  fuzz::TryDecode([&] { codec::DecodeRpcResult(text); });
  fuzz::TryDecode([&] { codec::ParseVmList(text); });
  fuzz::TryDecode([&] {
    const auto encoded =
        codec::EncodeMembershipMessage(codec::DecodeMembershipMessage(text));
    if (encoded != codec::EncodeMembershipMessage(
                       codec::DecodeMembershipMessage(encoded))) {
      std::abort();
    }
  });
  return 0;
}
