#ifndef JASMINEHATCH_CODEC_TESTS_JSON_VARIANTS_H_
#define JASMINEHATCH_CODEC_TESTS_JSON_VARIANTS_H_

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace jasminehatch::codec::test {

/// @return every value of a number or list element in the document, replaced
/// one at a time
inline std::vector<nlohmann::json> ReplaceEachNumber(
    const nlohmann::json& document,
    const nlohmann::json& replacement) {
  std::vector<nlohmann::json> variants;
  const nlohmann::json flat = document.flatten();
  for (const auto& [pointer, value] : flat.items()) {
    if (value.is_number()) {
      nlohmann::json variant = document;
      variant[nlohmann::json::json_pointer(pointer)] = replacement;
      variants.push_back(std::move(variant));
    }
  }
  return variants;
}

}  // namespace jasminehatch::codec::test

#endif  // JASMINEHATCH_CODEC_TESTS_JSON_VARIANTS_H_
