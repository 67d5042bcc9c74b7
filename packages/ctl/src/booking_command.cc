#include <iostream>

#include "jasminehatch/detail/ctl/command.h"
#include "jasminehatch/detail/ctl/commands.h"
#include "jasminehatch/detail/ctl/common.h"
#include "jasminehatch/detail/ctl/sync_client.h"

DECLARE_string(key);

namespace jasminehatch::ctl {

using nlohmann::json;

int BookingCommand(Arguments arguments) {
  if (arguments.size() != 1) {
    return kExitUsage;
  }
  if (FLAGS_daemons.empty()) {
    return ReportMissingFlag("daemons");
  }
  if (FLAGS_key.empty()) {
    return ReportMissingFlag("key");
  }
  SyncClient client;
  std::string error = "no daemon responded";
  for (const std::string& url : DaemonUrls()) {
    net::HttpCall call;
    call.url = url + "/v1/bookings/" + arguments[0];
    call.headers = {{"Authorization", "Bearer " + FLAGS_key}};
    call.total_timeout = std::chrono::seconds(5);
    const net::HttpResult result = client.Call(std::move(call));
    const auto document = ReadObject(result);
    if (result.status == 200 && document) {
      const std::string stage = document->value("stage", "unknown");
      std::cout << (FLAGS_json ? document->dump() : stage) << '\n';
      return stage == "unknown" ? kExitUnknown : kExitOk;
    }
    if (document && document->contains("error")) {
      std::cerr << document->at("error").value("message", "refused") << '\n';
      return kExitFailed;
    }
    error = DescribeFailure(result);
  }
  std::cerr << error << '\n';
  return kExitUnknown;
}

}  // namespace jasminehatch::ctl
