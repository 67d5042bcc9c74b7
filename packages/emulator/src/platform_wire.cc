#include "jasminehatch/detail/emulator/platform_wire.h"

#include <nlohmann/json.hpp>

namespace jasminehatch::emulator {
namespace {

using nlohmann::json;

json EncodeRoute(const PlatformRoute& route, const std::string& service) {
  return {{"name", route.name},
          {"host", kPlatformHost},
          {"kind", route.kind},
          {"pathPrefix", "/" + route.name + "/"},
          {"timeoutMs", 4000},
          {"sloMs", 300},
          {"priority", 2},
          {"service", service},
          {"targetGapMs", 300},
          {"attempts", route.attempts},
          {"resumable", route.resumable}};
}

}  // namespace

std::string PlatformConfiguration(
    std::uint64_t version,
    const std::string& service,
    std::span<const PlatformRoute> routes,
    std::span<const PlatformWorkspace> workspaces) {
  json encoded_routes = json::array();
  for (const PlatformRoute& route : routes) {
    encoded_routes.push_back(EncodeRoute(route, service));
  }
  json encoded_workspaces = json::array();
  for (const PlatformWorkspace& workspace : workspaces) {
    encoded_workspaces.push_back(
        {{"name", workspace.name}, {"apiKeys", json::array({workspace.key})}});
  }
  return json{
      {"version", version},
      {"routes", std::move(encoded_routes)},
      {"services", json::array({{{"name", service}, {"maxConns", 500}}})},
      {"tenants", std::move(encoded_workspaces)}}
      .dump();
}

net::HttpHeaders CallerHeaders(const std::string& request,
                               const std::string& key,
                               std::chrono::milliseconds deadline) {
  return {{"Host", kPlatformHost},
          {"X-Request-Id", request},
          {"X-Deadline-Ms", std::to_string(deadline.count())},
          {"Authorization", "Token " + key}};
}

ForwardedHeaders ParseForwardedHeaders(const net::HttpHeaders& headers) {
  const auto header = [&](const char* name) {
    return std::string(net::FindHeader(headers, name));
  };
  return {header("X-Request-Id"), header("X-Tenant"), header("Authorization"),
          header("Last-Event-Id")};
}

std::string ResponseHeaderLines(std::string_view request,
                                const std::string& upstream) {
  constexpr std::string_view kRequestId = "X-Request-Id: ";
  const std::size_t start = request.find(kRequestId);
  const std::string_view line =
      start == std::string_view::npos
          ? std::string_view()
          : request.substr(start, request.find("\r\n", start) - start);
  return std::string(line) + "\r\nX-Response-Signature: signature-of-" +
         upstream + "\r\nContent-Type: text/event-stream\r\n";
}

std::string SignatureOf(const net::HttpHeaders& headers) {
  return std::string(net::FindHeader(headers, "X-Response-Signature"));
}

}  // namespace jasminehatch::emulator
