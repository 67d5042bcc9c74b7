#ifndef JASMINEHATCH_DETAIL_HASH_BLOCK_KEYS_H_
#define JASMINEHATCH_DETAIL_HASH_BLOCK_KEYS_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "jasminehatch/detail/base/digest.h"

namespace jasminehatch::codec {

/// Bytes of prompt text per block: about 2,000 tokens at 4 bytes a token.
inline constexpr std::size_t kBlockTextBytes = 8000;

/// @brief Computes the chain of block keys of a prompt.
///
/// Key i is the digest of key i-1 and the text of block i; the first key is
/// seeded with workspace, model and weight version, so that keys of different
/// workspaces or versions never match. An incomplete last block has no key.
/// @param prompt the canonical text of the prompt
/// @return one key per complete block; time is linear in the length of the
/// prompt
std::vector<BlockKey> ComputeBlockKeys(std::string_view workspace,
                                       std::string_view model,
                                       std::string_view weight_version,
                                       std::string_view prompt);

}  // namespace jasminehatch::codec

#endif  // JASMINEHATCH_DETAIL_HASH_BLOCK_KEYS_H_
