#include "jasminehatch/detail/json/refusal_json.h"

#include <nlohmann/json.hpp>

namespace jasminehatch::codec {

std::string BuildRefusal(RefusalCode code,
                         Verdict verdict,
                         std::string_view message,
                         std::string_view request_id) {
  const RefusalInfo& info = Describe(code);
  const nlohmann::json document = {{"error",
                                    {{"code", info.name},
                                     {"number", info.number},
                                     {"message", message},
                                     {"verdict", ToString(verdict)},
                                     {"request_id", request_id}}}};
  return document.dump(-1, ' ', false,
                       nlohmann::json::error_handler_t::replace);
}

}  // namespace jasminehatch::codec
