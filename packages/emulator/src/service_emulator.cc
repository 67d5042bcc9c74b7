#include "jasminehatch/detail/emulator/service_emulator.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "jasminehatch/detail/http/response_writer.h"
#include "json_response.h"

namespace jasminehatch::emulator {
namespace {

using nlohmann::json;

}  // namespace

ServiceEmulator::ServiceEmulator(asio::io_context& loop,
                                 const net::HttpServer::Options& options,
                                 std::uint64_t seed)
    : m_loop(loop),
      m_random(seed),
      m_server(loop,
               options,
               [this](const net::HttpRequest& request, const Writer& writer) {
                 OnRequest(request, writer);
               }) {}

ServiceEmulator::~ServiceEmulator() = default;

void ServiceEmulator::OnRequest(const net::HttpRequest& request,
                                const Writer& writer) {
  if (request.path == "/admin/faults") {
    OnFaults(request.body, writer);
    return;
  }
  if (request.path == "/runs") {
    writer->Send(200, kJsonHeaders, json(m_runs).dump());
    return;
  }
  if (request.method != "POST") {
    writer->Send(
        200, kJsonHeaders,
        json{{"method", request.method}, {"path", request.path}}.dump());
    return;
  }
  std::uniform_real_distribution<> uniform(0, 1);
  if (uniform(m_random) < m_faults.refuse_share) {
    writer->Send(
        503, {{"Content-Type", "application/json"}, {"X-Verdict", "not_run"}},
        R"({"error":"busy"})");
    return;
  }
  const std::string key(net::FindHeader(request.headers, "Idempotency-Key"));
  if (m_faults.delay.count() == 0) {
    Run(key, writer);
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(m_loop, m_faults.delay);
  timer->async_wait([this, timer, key, writer](const asio::error_code& error) {
    if (!error) {
      Run(key, writer);
    }
  });
}

void ServiceEmulator::Run(const std::string& key, const Writer& writer) {
  const std::uint64_t runs = ++m_runs[key];
  if (std::uniform_real_distribution<>(0, 1)(m_random) <
      m_faults.lost_response_share) {
    writer->BeginTruncatedStream(201, kJsonHeaders);
    writer->End();
    return;
  }
  writer->Send(201, kJsonHeaders, json{{"booked", key}, {"runs", runs}}.dump());
}

void ServiceEmulator::OnFaults(const std::string& body, const Writer& writer) {
  const json document = json::parse(body, nullptr, false);
  if (!document.is_object()) {
    writer->Send(400, kJsonHeaders, kExpectedObject);
    return;
  }
  m_faults.lost_response_share =
      document.value("lose_answers", m_faults.lost_response_share);
  m_faults.refuse_share = document.value("refuse", m_faults.refuse_share);
  m_faults.delay = std::chrono::milliseconds(document.value(
      "delay_ms", static_cast<std::int64_t>(m_faults.delay.count())));
  writer->Send(200, kJsonHeaders, "{}");
}

}  // namespace jasminehatch::emulator
