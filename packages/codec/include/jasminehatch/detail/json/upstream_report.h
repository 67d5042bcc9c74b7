#ifndef JASMINEHATCH_DETAIL_JSON_UPSTREAM_REPORT_H_
#define JASMINEHATCH_DETAIL_JSON_UPSTREAM_REPORT_H_

#include <string>
#include <string_view>
#include <vector>

#include "jasminehatch/detail/serving/event.h"

namespace jasminehatch::codec {

/// @brief Decodes a response to `GET /engine/v1/load`; the upstream id is left
/// empty.
/// @throw CodecError 240 when the text is not valid
serving::LoadReported ParseLoadReport(std::string_view text);

/// @return the JSON document of a load report
std::string BuildLoadReport(const serving::LoadReported& report);

/// @brief Decodes a response to `GET /engine/v1/events`.
/// @throw CodecError 241 when the text is not valid
std::vector<serving::CacheChange> ParseCacheChanges(std::string_view text);

std::string BuildCacheChanges(const std::vector<serving::CacheChange>& changes);

/// @brief Decodes a response to `GET /engine/v1/cache`; the upstream id is left
/// empty.
/// @throw CodecError 242 when the text is not valid
serving::CacheListed ParseCacheListing(std::string_view text);

std::string BuildCacheListing(const serving::CacheListed& listing);

}  // namespace jasminehatch::codec

#endif  // JASMINEHATCH_DETAIL_JSON_UPSTREAM_REPORT_H_
