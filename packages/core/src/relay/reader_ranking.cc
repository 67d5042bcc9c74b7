#include "jasminehatch/detail/relay/reader_ranking.h"

#include <algorithm>
#include <utility>

#include "jasminehatch/detail/forwarding/stable_hash.h"

namespace jasminehatch::relay {

const ReaderCandidate& ChooseReader(
    std::string_view feed,
    std::span<const ReaderCandidate> candidates) {
  const std::uint64_t seed = forwarding::StableHash(feed);
  const auto score = [seed](const ReaderCandidate& candidate) {
    return std::pair(candidate.capacity,
                     forwarding::StableHash(candidate.name, seed));
  };
  return *std::max_element(
      candidates.begin(), candidates.end(),
      [&](const ReaderCandidate& left, const ReaderCandidate& right) {
        return score(left) < score(right);
      });
}

}  // namespace jasminehatch::relay
