#ifndef JASMINEHATCH_DETAIL_CTL_WHERE_REPORT_H_
#define JASMINEHATCH_DETAIL_CTL_WHERE_REPORT_H_

#include <nlohmann/json.hpp>
#include <ostream>

namespace jasminehatch::ctl {

/// @brief Prints an explanation as text: the route, the choice or the refusal,
/// and a table of the upstreams, candidates first.
/// @param explanation the answer to `POST /explain`
/// @throw nlohmann::json::exception if a member is missing or of another type
void PrintExplanation(const nlohmann::json& explanation, std::ostream& stream);

}  // namespace jasminehatch::ctl

#endif  // JASMINEHATCH_DETAIL_CTL_WHERE_REPORT_H_
