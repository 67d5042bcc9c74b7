#ifndef JASMINEHATCH_DETAIL_JSON_LEASE_JSON_H_
#define JASMINEHATCH_DETAIL_JSON_LEASE_JSON_H_

#include <string>
#include <string_view>

#include "jasminehatch/detail/lease/lease_record.h"

namespace jasminehatch::codec {

/// @return the record as JSON
std::string EncodeLease(const lease::LeaseRecord& record);

/// @throw CodecError 230 when the text is not a lease record
lease::LeaseRecord DecodeLease(std::string_view text);

}  // namespace jasminehatch::codec

#endif  // JASMINEHATCH_DETAIL_JSON_LEASE_JSON_H_
