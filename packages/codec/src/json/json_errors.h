#ifndef JASMINEHATCH_CODEC_SRC_JSON_JSON_ERRORS_H_
#define JASMINEHATCH_CODEC_SRC_JSON_JSON_ERRORS_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "jasminehatch/detail/base/exception.h"

namespace jasminehatch::codec {

/// @brief Runs a decoder and turns the JSON library's errors into CodecErrors.
///
/// The library's own message quotes the input, which must not reach logs.
/// @throw CodecError with `number` when the decoder throws a JSON exception
template <typename Decode>
auto ConvertJsonErrors(int number, std::string_view what, Decode decode) {
  try {
    return decode();
  } catch (const nlohmann::json::exception& error) {
    throw CodecError(number, "invalid " + std::string(what) + " (error " +
                                 std::to_string(error.id) + ")");
  }
}

}  // namespace jasminehatch::codec

#endif  // JASMINEHATCH_CODEC_SRC_JSON_JSON_ERRORS_H_
