#include "fleet.h"

#include <array>

using namespace jasminehatch;
using namespace jasminehatch::daemon::test;

namespace {

constexpr std::size_t kBodyLimit = 16'384;

struct Row {
  const char* name;
  const char* method;
  const char* path;
  std::string body;
  int status;
  const char* code;
  net::HttpHeaders headers = {};
};

constexpr const char* kChat = "/v1/chat/completions";
constexpr const char* kText = "/v1/completions";
constexpr const char* kBook = "/services/orders/bookings";

std::string ChatBody(const std::string& more) {
  return R"({"model":"assistant","messages":[{"role":"user","content":"x"}])" +
         more + "}";
}

std::vector<Row> Rows() {
  const std::string deep(5'000, '[');
  return {
      {"empty body", "POST", kChat, "", 400, "malformed_request"},
      {"truncated JSON", "POST", kChat, R"({"model":"assi)", 400,
       "malformed_request"},
      {"array", "POST", kChat, "[]", 400, "malformed_request"},
      {"deep nesting", "POST", kChat, deep, 400, "malformed_request"},
      {"deep nesting in a field", "POST", kChat,
       ChatBody(",\"x\":" + std::string(65, '[') + std::string(65, ']')), 400,
       "malformed_request"},
      {"bad UTF-8", "POST", kText,
       "{\"model\":\"assistant\",\"prompt\":\"\xff\xfe\"}", 400,
       "malformed_request"},
      {"overlong UTF-8", "POST", kText,
       "{\"model\":\"assistant\",\"prompt\":\"\xc0\xaf\"}", 400,
       "malformed_request"},
      {"lone surrogate", "POST", kText,
       R"({"model":"assistant","prompt":"\ud800"})", 400, "malformed_request"},
      {"huge number", "POST", kChat, ChatBody(",\"max_tokens\":1e400"), 400,
       "malformed_request"},
      {"no model", "POST", kChat, R"({"messages":[]})", 400,
       "malformed_request"},
      {"model of wrong type", "POST", kChat, R"({"model":7})", 400,
       "malformed_request"},
      {"no messages", "POST", kChat, R"({"model":"assistant"})", 400,
       "malformed_request"},
      {"empty messages", "POST", kChat,
       R"({"model":"assistant","messages":[]})", 400, "malformed_request"},
      {"message without role", "POST", kChat,
       R"({"model":"assistant","messages":[{"content":"x"}]})", 400,
       "malformed_request"},
      {"message without content", "POST", kChat,
       R"({"model":"assistant","messages":[{"role":"user"}]})", 400,
       "malformed_request"},
      {"image part", "POST", kChat,
       R"({"model":"assistant","messages":[{"role":"user","content":[{"type":"image_url"}]}]})",
       400, "malformed_request"},
      {"part type of wrong type", "POST", kChat,
       R"({"model":"assistant","messages":[{"role":"user","content":[{"type":7,"text":"x"}]}]})",
       400, "malformed_request"},
      {"prompt of wrong type", "POST", kText,
       R"({"model":"assistant","prompt":["x"]})", 400, "malformed_request"},
      {"stream of wrong type", "POST", kChat, ChatBody(R"(,"stream":"yes")"),
       400, "malformed_request"},
      {"max_tokens of 0", "POST", kChat, ChatBody(",\"max_tokens\":0"), 400,
       "malformed_request"},
      {"negative max_tokens", "POST", kChat, ChatBody(",\"max_tokens\":-1"),
       400, "malformed_request"},
      {"two choices", "POST", kChat, ChatBody(",\"n\":2"), 400,
       "malformed_request"},
      {"unknown priority", "POST", kChat, ChatBody(R"(,"priority":"now")"), 400,
       "malformed_request"},
      {"reserved field", "POST", kChat, ChatBody(",\"resume_from\":3"), 400,
       "malformed_request"},
      {"body over the limit", "POST", kChat,
       ChatBody(",\"x\":\"" + std::string(kBodyLimit, 'x') + "\""), 413,
       "body_too_large"},
      {"unknown model", "POST", kChat,
       R"({"model":"other","messages":[{"role":"user","content":"x"}]})", 404,
       "unknown_model"},
      {"version outside the workspace", "POST", kChat,
       R"({"model":"assistant@v2","messages":[{"role":"user","content":"x"}]})",
       403, "version_not_allowed"},
      {"bad deadline",
       "POST",
       kChat,
       ChatBody(""),
       400,
       "malformed_request",
       {{"X-Deadline-Ms", "soon"}}},
      {"duplicate deadline",
       "POST",
       kChat,
       ChatBody(""),
       400,
       "malformed_request",
       {{"X-Deadline-Ms", "900"}, {"X-Deadline-Ms", "901"}}},
      {"duplicate key",
       "POST",
       kBook,
       "{}",
       400,
       "malformed_request",
       {{"Idempotency-Key", NewKey("a")}, {"Idempotency-Key", NewKey("b")}}},
      {"no key", "POST", kBook, "{}", 400, "missing_idempotency_key"},
      {"key without a time",
       "POST",
       kBook,
       "{}",
       400,
       "malformed_idempotency_key",
       {{"Idempotency-Key", "order-1"}}},
      {"key with a time in the future",
       "POST",
       kBook,
       "{}",
       400,
       "malformed_idempotency_key",
       {{"Idempotency-Key", "9999999999-a"}}},
      {"UUID with a time in the far future",
       "POST",
       kBook,
       "{}",
       400,
       "malformed_idempotency_key",
       {{"Idempotency-Key", "ffffffff-ffff-7abc-8def-0123456789ab"}}},
      {"expired key",
       "POST",
       kBook,
       "{}",
       410,
       "booking_key_expired",
       {{"Idempotency-Key", "1500000000-a"}}},
      {"unknown service",
       "POST",
       "/services/other/x",
       "{}",
       404,
       "unknown_route",
       {{"Idempotency-Key", NewKey("s")}}},
      {"unknown method", "PATCH", "/services/orders/x", "{}", 404,
       "unknown_route"},
      {"unknown route", "GET", "/v1/nothing", "", 404, "unknown_route"},
      {"wrong method", "GET", kChat, "", 404, "unknown_route"},
      {"stage of a bad key", "GET", "/v1/bookings/x", "", 400,
       "malformed_idempotency_key"},
  };
}

}  // namespace

TEST_GROUP_BASE(BadInput, FleetTest){};

// Guards against requests that reach an upstream before validation, and against
// refusals without a code.
TEST(BadInput, IsRefusedBeforeAnyUpstream) {
  Fleet fleet(1, [](codec::DaemonSettings& settings) {
    settings.body_limit = kBodyLimit;
  });
  fleet.AwaitReady();
  for (const Row& row : Rows()) {
    net::HttpCall call = fleet.Request(row.method, row.path, row.body);
    call.headers.insert(call.headers.end(), row.headers.begin(),
                        row.headers.end());
    const auto result = fleet.Call(std::move(call));
    LONGS_EQUAL_TEXT(row.status, result.status, row.name);
    const auto error = ErrorOf(result);
    STRCMP_EQUAL_TEXT(row.code, error["code"].get<std::string>().c_str(),
                      row.name);
    const char* verdict = row.status == 410 ? "may_have_run" : "not_run";
    STRCMP_EQUAL_TEXT(verdict, error["verdict"].get<std::string>().c_str(),
                      row.name);
  }
  LONGS_EQUAL(0, fleet.StartedRuns());
  CHECK(fleet.service.Runs().empty());
}

// Guards against access without a key, with a wrong key or with two keys.
TEST(BadInput, RequiresTheKeyOfAWorkspace) {
  Fleet fleet;
  fleet.AwaitReady();
  const std::string valid = "Bearer " + std::string(kKey);
  struct KeyRow {
    net::HttpHeaders headers;
    int status;
  };
  const std::vector<KeyRow> rows = {
      {{}, 401},
      {{{"Authorization", "Bearer "}}, 401},
      {{{"Authorization", "Bearer fleet-kez"}}, 401},
      {{{"Authorization", "Basic " + std::string(kKey)}}, 401},
      {{{"Authorization", valid}, {"Authorization", valid}}, 400},
  };
  for (const KeyRow& row : rows) {
    for (const char* path : {kChat, kBook}) {
      net::HttpCall call = fleet.Request("POST", path, ChatBody(""));
      call.headers = row.headers;
      const auto result = fleet.Call(std::move(call));
      LONGS_EQUAL(row.status, result.status);
      ErrorOf(result);
    }
  }
  LONGS_EQUAL(0, fleet.StartedRuns());
  CHECK(fleet.service.Runs().empty());
}

// Guards against incomplete requests that hold a connection open or are
// forwarded.
TEST(BadInput, SlowSenderIsDisconnected) {
  Fleet fleet(1, [](codec::DaemonSettings& settings) {
    settings.read_timeout = std::chrono::milliseconds(300);
  });
  fleet.AwaitReady();
  asio::ip::tcp::socket socket(fleet.loop);
  socket.connect(
      {asio::ip::make_address("127.0.0.1"), fleet.daemons[0]->Port()});
  const std::string partial_request =
      "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: "
      "Bearer " +
      std::string(kKey) + "\r\nContent-Length: 500\r\n\r\n" + ChatBody("");
  asio::write(socket, asio::buffer(partial_request));
  std::array<char, 512> buffer{};
  bool closed = false;
  asio::async_read(socket, asio::buffer(buffer),
                   [&](const asio::error_code& error, std::size_t /*size*/) {
                     closed = static_cast<bool>(error);
                   });
  fleet.RunUntil([&] { return closed; });
  LONGS_EQUAL(0, fleet.StartedRuns());
}

// Guards against unbounded buffering for a caller that does not read.
TEST(BadInput, CallerThatDoesNotReadIsDisconnected) {
  Fleet fleet(
      1,
      [](codec::DaemonSettings& settings) { settings.unsent_limit = 65'536; },
      std::chrono::microseconds(0));
  fleet.AwaitReady();
  asio::ip::tcp::socket socket(fleet.loop);
  socket.open(asio::ip::tcp::v4());
  socket.set_option(asio::socket_base::receive_buffer_size(4096));
  socket.connect(
      {asio::ip::make_address("127.0.0.1"), fleet.daemons[0]->Port()});
  const std::string body = ChatBody(R"(,"stream":true,"max_tokens":200000)");
  const std::string request =
      "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: "
      "Bearer " +
      std::string(kKey) + "\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body;
  asio::write(socket, asio::buffer(request));
  const auto& metrics = fleet.daemons[0]->CurrentMetrics();
  fleet.RunUntil(
      [&] { return metrics.Refusals(RefusalCode::kCallerTooSlow) == 1; });
  fleet.RunUntil([&] { return fleet.CancelledRuns() == 1; });
  LONGS_EQUAL(1, fleet.StartedRuns());
}
