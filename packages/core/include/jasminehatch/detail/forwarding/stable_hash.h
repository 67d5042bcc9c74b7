#ifndef JASMINEHATCH_DETAIL_FORWARDING_STABLE_HASH_H_
#define JASMINEHATCH_DETAIL_FORWARDING_STABLE_HASH_H_

#include <cstdint>
#include <string_view>

namespace jasminehatch::forwarding {

/// @brief Computes a hash that is equal in all processes and builds, so that
/// daemons agree without coordination. Not suited for hash tables with
/// untrusted keys.
/// @param seed result of an earlier call, to hash several strings
inline std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0) {
  // FNV-1a; the finaliser of MurmurHash3 makes up for its weak high bits.
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
