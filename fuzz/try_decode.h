#ifndef JASMINEHATCH_FUZZ_TRY_DECODE_H_
#define JASMINEHATCH_FUZZ_TRY_DECODE_H_

#include <jasminehatch/codec.h>

namespace jasminehatch::fuzz {

/// @brief Runs a decoder. CodecError is the documented result of invalid input;
/// any other exception ends the run.
template <typename Decode>
void TryDecode(const Decode& decode) {
  try {
    decode();
  } catch (const CodecError&) {
    // Readers skip such input.
  }
}

}  // namespace jasminehatch::fuzz

#endif  // JASMINEHATCH_FUZZ_TRY_DECODE_H_
