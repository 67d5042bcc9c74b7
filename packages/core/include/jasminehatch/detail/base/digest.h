#ifndef JASMINEHATCH_DETAIL_BASE_DIGEST_H_
#define JASMINEHATCH_DETAIL_BASE_DIGEST_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <functional>
#include <string>

namespace jasminehatch {

/// @brief The first 128 bits of a SHA-256 digest: a block key, a body digest or
/// a request fingerprint.
struct Digest {
  std::array<std::uint8_t, 16> bytes{};

  friend auto operator<=>(const Digest&, const Digest&) = default;

  /// @return the digest as 32 lower-case hexadecimal digits
  std::string ToHex() const;
};

/// Identity of one cached block of a prompt: a hash chained over all earlier
/// blocks and seeded with workspace, model and weight version.
using BlockKey = Digest;

/// Identity of a request's content within its workspace.
using Fingerprint = Digest;

}  // namespace jasminehatch

template <>
struct std::hash<jasminehatch::Digest> {
  std::size_t operator()(const jasminehatch::Digest& digest) const noexcept {
    std::size_t value = 0;
    std::memcpy(&value, digest.bytes.data(), sizeof(value));
    return value;
  }
};

#endif  // JASMINEHATCH_DETAIL_BASE_DIGEST_H_
