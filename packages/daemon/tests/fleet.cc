#include "fleet.h"

#include <utility>

namespace jasminehatch::daemon::test {
namespace {

using nlohmann::json;

/// Far more time than any test needs; a test that reaches it hangs.
constexpr std::chrono::seconds kTimeout{60};

constexpr std::size_t kEngineCount = 2;

std::string Url(std::uint16_t port) {
  return "http://127.0.0.1:" + std::to_string(port);
}

json Messages(const std::string& text) {
  return {{{"role", "user"}, {"content", text}}};
}

}  // namespace

StreamedResponse ReadStream(std::string_view body, bool chat) {
  StreamedResponse result;
  codec::SseParser parser;
  parser.Feed(body, [&](std::string_view event) {
    if (event == codec::kStreamEnd) {
      result.ended = true;
      return;
    }
    const json document = json::parse(event);
    if (document.contains("error")) {
      result.error_code = document["error"]["code"];
      return;
    }
    result.text += codec::EngineChunk::Parse(event, chat).text;
  });
  return result;
}

json ErrorOf(const net::HttpResult& result) {
  const json document = json::parse(result.body, nullptr, false);
  CHECK_TEXT(document.is_object() && document.size() == 1 &&
                 document.contains("error"),
             result.body.c_str());
  json error = document["error"];
  LONGS_EQUAL(5, error.size());
  CHECK(error["code"].is_string() && error["number"].is_number_unsigned() &&
        error["message"].is_string() && error["request_id"].is_string());
  const std::string verdict = error["verdict"];
  CHECK(verdict == "not_run" || verdict == "may_have_run" || verdict == "ran");
  return error;
}

std::string NewKey(std::string_view name) {
  return std::to_string(std::chrono::duration_cast<std::chrono::seconds>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count()) +
         "-" + std::string(name);
}

Fleet::Fleet(std::size_t daemon_count,
             const std::function<void(codec::DaemonSettings&)>& configure,
             std::chrono::microseconds token_interval)
    : log(loop, {}, 1), service(loop, {}, 2), client(loop) {
  for (std::size_t i = 0; i < kEngineCount; ++i) {
    emulator::EngineEmulator::Options options;
    options.prefill_tokens_per_second = 1e7;
    options.token_interval = token_interval;
    options.seed = i + 1;
    options.incarnation = i + 1;
    engines.push_back(
        std::make_unique<emulator::EngineEmulator>(loop, options));
  }
  for (std::size_t i = 0; i < daemon_count; ++i) {
    codec::DaemonSettings settings;
    settings.name = "entry-" + std::to_string(i);
    settings.zone = "zone-a";
    settings.log_url = Url(log.Port());
    settings.stop_delay = std::chrono::milliseconds(20);
    settings.load_interval = std::chrono::milliseconds(20);
    if (configure) {
      configure(settings);
    }
    daemons.push_back(std::make_unique<Daemon>(loop, settings, clock, i + 1));
  }
}

void Fleet::RunUntil(const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + kTimeout;
  while (!condition()) {
    CHECK_TEXT(std::chrono::steady_clock::now() < end,
               "the condition did not become true");
    loop.run_one_for(std::chrono::milliseconds(100));
  }
}

Fleet::Pending Fleet::Start(net::HttpCall call, net::HttpClient::CallId* id) {
  auto pending = std::make_shared<std::optional<net::HttpResult>>();
  const auto started = client.Start(
      std::move(call),
      [pending](net::HttpResult result) { *pending = std::move(result); });
  if (id != nullptr) {
    *id = started;
  }
  return pending;
}

net::HttpResult Fleet::Wait(const Pending& pending) {
  RunUntil([&] { return pending->has_value(); });
  return **pending;
}

net::HttpCall Fleet::Request(std::string method,
                             const std::string& path,
                             std::string body,
                             std::size_t daemon) const {
  net::HttpCall call;
  call.method = std::move(method);
  call.url = Url(daemons.at(daemon)->Port()) + path;
  call.headers = {{"Authorization", "Bearer " + std::string(kKey)},
                  {"Content-Type", "application/json"}};
  call.body = std::move(body);
  return call;
}

net::HttpCall Fleet::Chat(const std::string& text,
                          bool stream,
                          std::uint32_t tokens,
                          std::size_t daemon) const {
  return Request("POST", "/v1/chat/completions",
                 json{{"model", "assistant"},
                      {"messages", Messages(text)},
                      {"stream", stream},
                      {"max_tokens", tokens}}
                     .dump(),
                 daemon);
}

net::HttpCall Fleet::Booking(const std::string& key, std::size_t daemon) const {
  net::HttpCall call =
      Request("POST", "/services/orders/bookings", R"({"bottles":2})", daemon);
  call.headers.push_back({"Idempotency-Key", key});
  return call;
}

std::string Fleet::ExpectedText(const std::string& text, std::uint32_t tokens) {
  return emulator::ResponseText(Messages(text).dump(), "v1", tokens);
}

void Fleet::Publish() {
  std::vector<std::string> urls;
  for (const auto& engine : engines) {
    urls.push_back(Url(engine->Port()));
  }
  Publish(urls);
}

void Fleet::Publish(std::span<const std::string> engine_urls) {
  config::ConfigChange change;
  change.change_id = "first";
  change.author = "test";
  change.updates.push_back(
      {{"workspace", "fountain"},
       config::Fields{{"key_sha256", codec::Sha256Hex(kKey)},
                      {"models", "assistant@v1"},
                      {"services", "orders"}}});
  for (std::size_t i = 0; i < engine_urls.size(); ++i) {
    change.updates.push_back({{"upstream", "engine-" + std::to_string(i)},
                              config::Fields{{"zone", "zone-a"},
                                             {"url", engine_urls[i]},
                                             {"model", "assistant"},
                                             {"weight_version", "v1"}}});
  }
  change.updates.push_back({{"upstream", "orders"},
                            config::Fields{{"zone", "zone-a"},
                                           {"url", Url(service.Port())},
                                           {"service", "orders"}}});
  net::HttpCall call;
  call.method = "POST";
  call.url = Url(log.Port()) + "/v1/streams/config/records";
  call.body = codec::EncodeConfigChange(change);
  LONGS_EQUAL(200, Call(std::move(call)).status);
}

void Fleet::AwaitReady() {
  Publish();
  RunUntil([this] {
    bool ready = true;
    for (const auto& daemon : daemons) {
      ready = ready && daemon->IsReady();
    }
    return ready;
  });
}

std::uint64_t Fleet::StartedRuns() const {
  std::uint64_t runs = 0;
  for (const auto& engine : engines) {
    runs += engine->StartedRuns();
  }
  return runs;
}

std::uint64_t Fleet::CancelledRuns() const {
  std::uint64_t runs = 0;
  for (const auto& engine : engines) {
    runs += engine->CancelledRuns();
  }
  return runs;
}

}  // namespace jasminehatch::daemon::test
