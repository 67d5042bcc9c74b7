#ifndef JASMINEHATCH_DETAIL_FORWARDING_CACHE_SALT_H_
#define JASMINEHATCH_DETAIL_FORWARDING_CACHE_SALT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminehatch::forwarding {

/// @brief Name under which engines and cache stores keep prompt parts; a part
/// is found only under the salt with which it was computed.
struct CacheSalt {
  std::string model;
  std::uint64_t version = 0;  ///< Of the model's weights.
  std::string scope;          ///< Workspaces that share the parts.

  /// @return the text on the wire; different salts have different texts,
  /// whatever characters the model and the scope contain
  std::string ToString() const;

  /// @return the salt with this text, or nothing if it has another form
  static std::optional<CacheSalt> Parse(std::string_view text);

  friend bool operator==(const CacheSalt&, const CacheSalt&) = default;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_CACHE_SALT_H_
