#ifndef JASMINEHATCH_DETAIL_FORWARDING_STABLE_HASH_H_
#define JASMINEHATCH_DETAIL_FORWARDING_STABLE_HASH_H_

#include <cstdint>
#include <string_view>

namespace jasminehatch::forwarding {

/// @brief A hash that is equal in all processes of all builds, so that daemons
/// agree without a message. Not for untrusted keys of hash tables.
/// @param seed value of an earlier call, to hash several parts
inline std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0) {
  // FNV-1a, with the finaliser of MurmurHash3 against its weak high bits.
  std::uint64_t hash = 0xcbf29ce484222325ULL ^ (seed * 0x9e3779b97f4a7c15ULL);
  for (const char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 0x100000001b3ULL;
  }
  hash ^= hash >> 33U;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33U;
  return hash;
}

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_STABLE_HASH_H_
