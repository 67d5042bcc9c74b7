#ifndef JASMINEHATCH_DETAIL_JSON_CONFIG_RECORD_H_
#define JASMINEHATCH_DETAIL_JSON_CONFIG_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "jasminehatch/detail/config/config_reader.h"
#include "jasminehatch/detail/config/record.h"

namespace jasminehatch::codec {

struct LogPage;

/// @return the log record that holds this part of a snapshot
std::string EncodeSnapshotPart(const config::SnapshotPart& part);

/// @throw CodecError 233 when the record is not a part of a snapshot
config::SnapshotPart DecodeSnapshotPart(std::string_view record);

/// @return the decoded record; a record that cannot be decoded has no body, and
/// all readers skip it
config::Record DecodeConfigRecord(std::uint64_t offset, std::string_view data);

/// @brief Decodes a page of the configuration stream.
/// @param from the requested offset
config::Page DecodeConfigPage(const LogPage& page, std::uint64_t from);

/// @return the reply to a peer that requested records, as JSON
std::string EncodePeerPage(const config::ConfigReader::PeerPage& page);

/// @throw CodecError 234 when the text is not such a reply
config::ConfigReader::PeerPage DecodePeerPage(std::string_view text);

}  // namespace jasminehatch::codec

#endif  // JASMINEHATCH_DETAIL_JSON_CONFIG_RECORD_H_
