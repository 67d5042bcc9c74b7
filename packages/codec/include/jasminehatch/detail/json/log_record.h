#ifndef JASMINEHATCH_DETAIL_JSON_LOG_RECORD_H_
#define JASMINEHATCH_DETAIL_JSON_LOG_RECORD_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "jasminehatch/detail/booking/log_entry.h"
#include "jasminehatch/detail/config/config_change.h"

namespace jasminehatch::codec {

/// @brief A record as the log service returns it.
struct LogRecord {
  std::uint64_t offset = 0;
  std::string data;
};

/// @brief A response to a read of a log stream.
struct LogPage {
  std::uint64_t first = 1;  ///< Oldest offset that the log still has.
  std::uint64_t next = 1;   ///< Offset to read from next.
  std::vector<LogRecord> records;

  /// @throw CodecError 230 when the text is not a valid page
  static LogPage Parse(std::string_view text);
};

/// @return the record that holds these booking entries
std::string EncodeBookingEntries(std::span<const booking::LogEntry> entries);

/// @throw CodecError 231 when the record is not valid; readers log and skip
/// such records
std::vector<booking::LogEntry> DecodeBookingEntries(std::string_view record);

/// @return the record that holds this configuration change
std::string EncodeConfigChange(const config::ConfigChange& change);

/// @throw CodecError 232 when the record is not valid; readers log and skip
/// such records
config::ConfigChange DecodeConfigChange(std::string_view record);

}  // namespace jasminehatch::codec

#endif  // JASMINEHATCH_DETAIL_JSON_LOG_RECORD_H_
