#include "both_clients.h"

#include <chrono>
#include <optional>
#include <string_view>
#include <utility>

#include "jasminehatch/detail/testing/run_until.h"

#include <CppUTest/TestHarness.h>

namespace jasminehatch::net::test {

void CurlClient::Start(const std::string& address,
                       std::string body,
                       EndCallback on_end) {
  auto streamed = std::make_shared<std::string>();
  HttpClient::DataCallback on_data;
  if (m_streamed) {
    on_data = [streamed](std::string_view data) { *streamed += data; };
  }
  m_client.Start(
      {.method = "POST",
       .url = "http://" + address + "/x",
       .body = std::move(body)},
      [streamed, on_end = std::move(on_end)](const HttpResult& result) {
        on_end({result.kind == HttpResult::Kind::kComplete,
                result.kind != HttpResult::Kind::kNotSent, result.status != 0,
                result.status, *streamed + result.body});
      },
      std::move(on_data));
}

void AsioClient::Start(const std::string& address,
                       std::string body,
                       EndCallback on_end) {
  auto outcome = std::make_shared<Outcome>();
  StreamClient::Callbacks callbacks;
  callbacks.on_head = [outcome](const StreamHead& head) {
    outcome->status = head.status;
  };
  callbacks.on_data = [outcome](std::string_view data) {
    outcome->body += data;
  };
  callbacks.on_end = [outcome,
                      on_end = std::move(on_end)](const StreamEnd& end) {
    outcome->complete = end.kind == StreamEnd::Kind::kComplete;
    outcome->sent = end.kind != StreamEnd::Kind::kNotSent;
    outcome->head_received = end.head_received;
    on_end(*outcome);
  };
  StreamCall call;
  call.address = address;
  call.method = "POST";
  call.target = "/x";
  call.headers = {{"Host", "h"}};
  call.body = std::move(body);
  m_client.Start(std::move(call), std::move(callbacks));
}

std::vector<std::unique_ptr<Client>> MakeClients(asio::io_context& loop) {
  std::vector<std::unique_ptr<Client>> clients;
  clients.push_back(std::make_unique<AsioClient>(loop));
  clients.push_back(std::make_unique<CurlClient>(loop, false));
  clients.push_back(std::make_unique<CurlClient>(loop, true));
  return clients;
}

Outcome Call(asio::io_context& loop,
             Client& client,
             const std::string& address,
             std::string body) {
  std::optional<Outcome> outcome;
  client.Start(address, std::move(body),
               [&](Outcome done) { outcome = std::move(done); });
  const auto end = std::chrono::steady_clock::now() + testing::kRunTimeout;
  while (!outcome && std::chrono::steady_clock::now() < end) {
    loop.restart();
    loop.run_one_for(std::chrono::milliseconds(5));
  }
  CHECK_TRUE_TEXT(outcome.has_value(), "the call did not end");
  return *outcome;
}

}  // namespace jasminehatch::net::test
