#include "jasminehatch/detail/daemon/log_client.h"

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/telemetry.h"

namespace jasminehatch::daemon {
namespace {

constexpr std::chrono::milliseconds kLongPollTime{1000};
/// Allows a slow log more time than the long poll takes.
constexpr std::chrono::milliseconds kReadTimeout{5000};
constexpr std::chrono::milliseconds kRetryDelay{100};
constexpr int kPageLimit = 1000;

}  // namespace

void LogAppender::Append(std::string_view stream,
                         std::string record,
                         Callback callback) {
  net::HttpCall call;
  call.method = "POST";
  call.url = m_log_url + "/v1/streams/" + std::string(stream) + "/records";
  call.headers = {{"Content-Type", "application/octet-stream"}};
  call.body = std::move(record);
  call.total_timeout = m_timeout;
  m_client.Start(std::move(call), [callback = std::move(callback)](
                                      const net::HttpResult& result) {
    if (result.kind == net::HttpResult::Kind::kNotSent) {
      callback(booking::AppendResult::kNotAppended, 0);
      return;
    }
    const auto response = nlohmann::json::parse(result.body, nullptr, false);
    if (result.kind == net::HttpResult::Kind::kComplete &&
        result.status == 200 && response.is_object() &&
        response.contains("offset") &&
        response["offset"].is_number_unsigned()) {
      callback(booking::AppendResult::kAppended,
               response["offset"].get<std::uint64_t>());
      return;
    }
    callback(booking::AppendResult::kUnknown, 0);
  });
}

LogFollower::LogFollower(asio::io_context& loop,
                         net::HttpClient& client,
                         std::string log_url,
                         std::string stream,
                         Callback callback)
    : m_client(client),
      m_log_url(std::move(log_url)),
      m_stream(std::move(stream)),
      m_callback(std::move(callback)),
      m_timer(loop) {}

LogFollower::~LogFollower() {
  m_client.Cancel(m_call_id);
}

void LogFollower::Start() {
  Read();
}

void LogFollower::Read() {
  m_requested_offset = m_next_offset;
  net::HttpCall call;
  call.url = m_log_url + "/v1/streams/" + m_stream +
             "/records?from=" + std::to_string(m_next_offset) +
             "&limit=" + std::to_string(kPageLimit) + "&wait_ms=" +
             std::to_string(m_caught_up ? kLongPollTime.count() : 0);
  call.total_timeout = kReadTimeout;
  m_call_id =
      m_client.Start(std::move(call),
                     [this](const net::HttpResult& result) { OnPage(result); });
}

void LogFollower::OnPage(const net::HttpResult& result) {
  if (result.kind != net::HttpResult::Kind::kComplete || result.status != 200) {
    m_caught_up = false;
    ScheduleRetry();
    return;
  }
  codec::LogPage page;
  try {
    page = codec::LogPage::Parse(result.body);
  } catch (const CodecError& error) {
    telemetry::LogWarning("log_page_invalid",
                          {{"stream", m_stream}, {"detail", error.what()}});
    ScheduleRetry();
    return;
  }
  m_next_offset = std::max(m_next_offset, page.next);
  m_caught_up = page.records.size() < kPageLimit;
  m_callback(page);
  Read();
}

void LogFollower::ScheduleRetry() {
  m_timer.expires_after(kRetryDelay);
  m_timer.async_wait([this](const asio::error_code& error) {
    if (!error) {
      Read();
    }
  });
}

}  // namespace jasminehatch::daemon
