#ifndef JASMINEHATCH_DETAIL_JSON_REFUSAL_JSON_H_
#define JASMINEHATCH_DETAIL_JSON_REFUSAL_JSON_H_

#include <string>
#include <string_view>

#include "jasminehatch/detail/base/refusal.h"
#include "jasminehatch/detail/base/verdict.h"

namespace jasminehatch::codec {

/// @return the JSON document of a refusal:
/// `{"error":{"code","number","message","verdict","request_id"}}`
std::string BuildRefusal(RefusalCode code,
                         Verdict verdict,
                         std::string_view message,
                         std::string_view request_id);

}  // namespace jasminehatch::codec

#endif  // JASMINEHATCH_DETAIL_JSON_REFUSAL_JSON_H_
