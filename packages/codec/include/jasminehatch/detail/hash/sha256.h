#ifndef JASMINEHATCH_DETAIL_HASH_SHA256_H_
#define JASMINEHATCH_DETAIL_HASH_SHA256_H_

#include <array>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "jasminehatch/detail/base/digest.h"

namespace jasminehatch::codec {

/// @return the SHA-256 digest as 64 lower-case hexadecimal digits
std::string Sha256Hex(std::string_view data);

/// @brief Digests several parts, each prefixed with its length, so that the
/// boundaries between parts affect the digest.
/// @return the first 128 bits of the SHA-256 digest
Digest ComputeDigest(std::initializer_list<std::string_view> parts);

/// @return whether two strings are equal, in time that depends on their lengths
/// only
bool EqualInConstantTime(std::string_view left, std::string_view right);

/// @return the digest that is written as 32 hexadecimal digits
/// @throw CodecError 201 when the text is not a digest
Digest ParseDigest(std::string_view hex);

}  // namespace jasminehatch::codec

#endif  // JASMINEHATCH_DETAIL_HASH_SHA256_H_
