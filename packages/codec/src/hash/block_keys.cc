#include "jasminehatch/detail/hash/block_keys.h"

#include "jasminehatch/detail/hash/sha256.h"

namespace jasminehatch::codec {

std::vector<BlockKey> ComputeBlockKeys(std::string_view workspace,
                                       std::string_view model,
                                       std::string_view weight_version,
                                       std::string_view prompt) {
  std::vector<BlockKey> keys;
  Digest previous = ComputeDigest({workspace, model, weight_version});
  while (prompt.size() >= kBlockTextBytes) {
    const std::string_view chain(
        reinterpret_cast<const char*>(previous.bytes.data()),
        previous.bytes.size());
    previous = ComputeDigest({chain, prompt.substr(0, kBlockTextBytes)});
    keys.push_back(previous);
    prompt.remove_prefix(kBlockTextBytes);
  }
  return keys;
}

}  // namespace jasminehatch::codec
