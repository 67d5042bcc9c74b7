#ifndef JASMINEHATCH_DETAIL_RELAY_RECORD_H_
#define JASMINEHATCH_DETAIL_RELAY_RECORD_H_

#include <cstdint>
#include <string>

namespace jasminehatch::relay {

/// @brief A record of a keyed topic.
struct Record {
  std::uint64_t offset = 0;  ///< Position in the topic.
  std::string key;
  std::string value;
  bool removed = false;  ///< The key was removed.

  friend bool operator==(const Record&, const Record&) = default;
};

}  // namespace jasminehatch::relay

#endif  // JASMINEHATCH_DETAIL_RELAY_RECORD_H_
