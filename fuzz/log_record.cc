// Fuzzes pages and records of the log; a decoded record is the same after
// another encoding and decoding.

#include <jasminehatch/codec.h>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "try_decode.h"

using namespace jasminehatch;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  fuzz::TryDecode([&] { codec::LogPage::Parse(text); });
  fuzz::TryDecode([&] {
    const auto encoded =
        codec::EncodeBookingEntries(codec::DecodeBookingEntries(text));
    if (encoded !=
        codec::EncodeBookingEntries(codec::DecodeBookingEntries(encoded))) {
      std::abort();
    }
  });
  fuzz::TryDecode([&] {
    const auto encoded =
        codec::EncodeConfigChange(codec::DecodeConfigChange(text));
    if (encoded !=
        codec::EncodeConfigChange(codec::DecodeConfigChange(encoded))) {
      std::abort();
    }
  });
  return 0;
}
