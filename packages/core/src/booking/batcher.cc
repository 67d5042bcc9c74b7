#include "jasminehatch/detail/booking/batcher.h"

#include <cstdint>

namespace jasminehatch::booking {
namespace {

/// Returns FNV-1a over zone and name with the MurmurHash3 finalizer.
/// `std::hash` may differ between builds, but daemons of different builds must
/// choose the same batcher.
std::uint64_t Weight(std::string_view zone, std::string_view daemon) {
  std::uint64_t hash = 0xcbf29ce484222325U;
  const auto add = [&hash](unsigned char byte) {
    hash = (hash ^ byte) * 0x100000001b3U;
  };
  for (const char character : zone) {
    add(static_cast<unsigned char>(character));
  }
  add(0);
  for (const char character : daemon) {
    add(static_cast<unsigned char>(character));
  }
  hash = (hash ^ (hash >> 33U)) * 0xff51afd7ed558ccdU;
  hash = (hash ^ (hash >> 33U)) * 0xc4ceb9fe1a85ec53U;
  return hash ^ (hash >> 33U);
}

}  // namespace

std::string_view ChooseBatcher(std::string_view zone,
                               std::span<const std::string> daemons) {
  std::string_view best;
  std::uint64_t best_weight = 0;
  for (const std::string& daemon : daemons) {
    const std::uint64_t weight = Weight(zone, daemon);
    if (best.empty() || weight > best_weight ||
        (weight == best_weight && daemon < best)) {
      best = daemon;
      best_weight = weight;
    }
  }
  return best;
}

}  // namespace jasminehatch::booking
