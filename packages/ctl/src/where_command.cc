#include <gflags/gflags.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <string>
#include <string_view>
#include <utility>

#include "jasminehatch/codec.h"
#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/detail/ctl/command.h"
#include "jasminehatch/detail/ctl/commands.h"
#include "jasminehatch/detail/ctl/common.h"
#include "jasminehatch/detail/ctl/sync_client.h"
#include "jasminehatch/detail/ctl/where_report.h"

DEFINE_string(daemon, "", "where: base URL of the daemon's metrics");
DEFINE_string(host, "", "where: host of the request");
DEFINE_string(path, "", "where: path of the request");
DEFINE_string(key_file,
              "",
              "where: file with the key of the request; - for standard input");
DEFINE_string(prompt_model, "", "where: model of the prompt");
DEFINE_string(parts, "", "where: parts of the prompt, ID:TOKENS,ID:TOKENS");
DEFINE_uint32(output_tokens, 0, "where: maximum output of the prompt");
DEFINE_uint32(output_hint, 0, "where: caller's estimate of the output");
DEFINE_uint32(time_left_ms, 0, "where: caller's time limit; 0 for none");
DEFINE_string(request_id,
              "",
              "where: id of the request, which decides its service if the "
              "route has several");

namespace jasminehatch::ctl {
namespace {

using nlohmann::json;

constexpr std::chrono::seconds kTimeout{5};

/// Number of the SettingsErrors of this command.
constexpr int kWrongFlag = 105;

std::string ReadLine(std::istream& stream, const std::string& source) {
  std::string line;
  if (!std::getline(stream, line)) {
    throw SettingsError(kWrongFlag, "cannot read a key from " + source);
  }
  while (!line.empty() && (line.back() == '\r' || line.back() == ' ')) {
    line.pop_back();
  }
  return line;
}

/// @return the key; empty without `--key_file`
std::string ReadKey() {
  if (FLAGS_key_file.empty()) {
    return {};
  }
  if (FLAGS_key_file == "-") {
    return ReadLine(std::cin, "standard input");
  }
  std::ifstream file(FLAGS_key_file);
  return ReadLine(file, FLAGS_key_file);
}

forwarding::PromptPart ParsePart(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  forwarding::PromptPart part;
  if (colon != std::string_view::npos && colon > 0) {
    const char* end = text.data() + text.size();
    const auto parsed =
        std::from_chars(text.data() + colon + 1, end, part.tokens);
    if (parsed.ec == std::errc() && parsed.ptr == end) {
      part.id = std::string(text.substr(0, colon));
      return part;
    }
  }
  throw SettingsError(kWrongFlag, "--parts: '" + std::string(text) +
                                      "' is not of the form ID:TOKENS");
}

forwarding::Prompt MakePrompt() {
  forwarding::Prompt prompt;
  prompt.model = FLAGS_prompt_model;
  prompt.max_output_tokens = FLAGS_output_tokens;
  prompt.output_hint = FLAGS_output_hint;
  std::string_view rest = FLAGS_parts;
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find(','), rest.size());
    prompt.parts.push_back(ParsePart(rest.substr(0, end)));
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return prompt;
}

std::string MakeBody() {
  forwarding::RequestReceived request;
  request.host = FLAGS_host;
  request.path = FLAGS_path;
  request.key = ReadKey();
  request.caller_id = FLAGS_request_id;
  if (FLAGS_time_left_ms > 0) {
    request.time_left = std::chrono::milliseconds(FLAGS_time_left_ms);
  }
  if (!FLAGS_prompt_model.empty()) {
    request.prompt = MakePrompt();
  } else if (!FLAGS_parts.empty()) {
    throw SettingsError(kWrongFlag, "--parts needs --prompt_model");
  }
  return codec::EncodeExplainRequest(request);
}

/// @return what the daemon says about a request that it did not explain
std::string DescribeRefusal(const net::HttpResult& result) {
  std::string text = DescribeFailure(result);
  const auto document = ReadObject(result);
  if (document && document->contains("error") &&
      document->at("error").is_object() &&
      document->at("error").contains("message") &&
      document->at("error")["message"].is_string()) {
    text += ", " + document->at("error")["message"].get<std::string>();
  }
  return text;
}

int Report(const std::string& body) {
  const json explanation = json::parse(body, nullptr, false);
  try {
    if (FLAGS_json) {
      // Daemons that do not know the path answer with their metrics.
      explanation.at("upstreams");
      std::cout << explanation.dump() << '\n';
    } else {
      PrintExplanation(explanation, std::cout);
    }
    return explanation.at("refusal").is_null() ? kExitOk : kExitFailed;
  } catch (const json::exception&) {
    std::cerr << FLAGS_daemon << ": the answer is not an explanation\n";
    return kExitUnknown;
  }
}

}  // namespace

int WhereCommand(Arguments arguments) {
  if (!arguments.empty()) {
    return kExitUsage;
  }
  for (const auto& [name, value] :
       {std::pair{"daemon", FLAGS_daemon}, std::pair{"host", FLAGS_host},
        std::pair{"path", FLAGS_path}}) {
    if (value.empty()) {
      return ReportMissingFlag(name);
    }
  }
  net::HttpCall call;
  call.method = "POST";
  call.url = FLAGS_daemon + "/explain";
  call.headers = {{"Content-Type", "application/json"}};
  call.body = MakeBody();
  call.total_timeout = kTimeout;
  SyncClient client;
  const net::HttpResult result = client.Call(std::move(call));
  if (result.status != 200 || result.kind != net::HttpResult::Kind::kComplete) {
    std::cerr << FLAGS_daemon << ": " << DescribeRefusal(result) << '\n';
    return kExitUnknown;
  }
  return Report(result.body);
}

}  // namespace jasminehatch::ctl
