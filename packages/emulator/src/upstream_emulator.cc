#include "jasminehatch/detail/emulator/upstream_emulator.h"

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "jasminehatch/detail/http/http_server.h"
#include "jasminehatch/detail/http/response_writer.h"

namespace jasminehatch::emulator {

UpstreamEmulator::UpstreamEmulator(asio::io_context& loop, std::string id)
    : m_id(std::move(id)),
      m_behaviour([](const net::HttpRequest&) { return Response{}; }) {
  m_server = std::make_unique<net::HttpServer>(
      loop, net::HttpServer::Options{},
      [this](const net::HttpRequest& request,
             const std::shared_ptr<net::ResponseWriter>& writer) {
        Handle(request, writer);
      });
}

UpstreamEmulator::~UpstreamEmulator() = default;

std::string UpstreamEmulator::Address() const {
  return "127.0.0.1:" + std::to_string(m_server->Port());
}

std::string UpstreamEmulator::Entry(const std::string& service,
                                    bool draining,
                                    const std::string& address) const {
  return nlohmann::json{
      {"service", service},
      {"address", address.empty() ? Address() : address},
      {"zone", "a"},
      {"version", "v1"},
      {"slots", 8},
      {"state", draining ? "draining" : "ready"},
      {"coldLeftMs", 0},
      {"seq", 0},
      {"born", 1},
      {"models", nlohmann::json::array({{{"name", "m"}, {"version", 1}}})}}
      .dump();
}

void UpstreamEmulator::Handle(
    const net::HttpRequest& request,
    const std::shared_ptr<net::ResponseWriter>& writer) {
  const std::string_view target =
      net::FindHeader(request.headers, "X-Target-Instance");
  if (!target.empty() && target != m_id) {
    writer->Send(421, {{"X-Instance-Id", m_id}, {"X-Not-Executed", "1"}}, "");
    return;
  }
  const Response response = m_behaviour(request);
  const std::string id(net::FindHeader(request.headers, "X-Request-Id"));
  net::HttpHeaders headers{{"X-Request-Id", response.wrong_id ? "other" : id}};
  headers.insert(headers.end(), response.headers.begin(),
                 response.headers.end());
  if (response.kind == Response::Kind::kNotRun) {
    headers.push_back({"X-Not-Executed", "1"});
    writer->Send(503, headers, "");
    return;
  }
  m_ran.push_back(request);
  if (!response.without_signature) {
    headers.push_back({"X-Response-Signature", "signature-of-" + m_id});
  }
  switch (response.kind) {
    case Response::Kind::kRespond:
      writer->Send(response.status, headers, response.body);
      return;
    case Response::Kind::kHang:
      m_hanging.push_back(writer);
      return;
    case Response::Kind::kBreak:
      writer->BeginTruncatedStream(200, headers);
      writer->Write("half");
      writer->End();
      return;
    case Response::Kind::kStream:
    case Response::Kind::kNotRun:
      break;
  }
  headers.push_back({"Content-Type", "text/event-stream"});
  if (response.truncated) {
    writer->BeginTruncatedStream(200, headers);
  } else {
    writer->BeginStream(200, headers);
  }
  for (const std::string& event : response.events) {
    writer->Write(event);
  }
  writer->End();
}

}  // namespace jasminehatch::emulator
