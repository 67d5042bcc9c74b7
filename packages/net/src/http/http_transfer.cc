#include "http_transfer.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

namespace jasminehatch::net {
namespace {

/// What a callback of libcurl returns to break off a call.
constexpr std::size_t kBreakOff = 0;

constexpr std::string_view kTooLarge = "the response is larger than its limit";

}  // namespace

HttpTransfer::HttpTransfer(HttpClient::CallId id,
                           HttpCall call,
                           HttpClient::DoneCallback on_done,
                           HttpClient::DataCallback on_data)
    : m_id(id),
      m_call(std::move(call)),
      m_on_done(std::move(on_done)),
      m_on_data(std::move(on_data)),
      m_easy(curl_easy_init()) {
  SetOptions();
  SetHeaders();
}

HttpTransfer& HttpTransfer::Of(CURL* easy) {
  HttpTransfer* transfer = nullptr;
  curl_easy_getinfo(easy, CURLINFO_PRIVATE, &transfer);
  return *transfer;
}

void HttpTransfer::SetOptions() {
  CURL* easy = m_easy.get();
  curl_easy_setopt(easy, CURLOPT_URL, m_call.url.c_str());
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(m_call.connect_timeout.count()));
  if (m_call.total_timeout.count() > 0) {
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(m_call.total_timeout.count()));
  }
  if (m_call.idle_timeout.count() > 0) {
    curl_easy_setopt(easy, CURLOPT_LOW_SPEED_LIMIT, 1L);
    curl_easy_setopt(
        easy, CURLOPT_LOW_SPEED_TIME,
        static_cast<long>((m_call.idle_timeout.count() + 999) / 1000));
  }
  if (m_call.fresh_connection) {
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
  }
  if (m_call.method == "HEAD") {
    curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
  } else if (m_call.method != "GET" || !m_call.body.empty()) {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(m_call.body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, m_call.body.data());
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, m_call.method.c_str());
  }
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(easy, CURLOPT_PRIVATE, this);
}

void HttpTransfer::SetHeaders() {
  curl_slist* list = nullptr;
  for (const HttpHeader& header : m_call.headers) {
    // libcurl sends the line as it is, so a line end in the value would add
    // a header.
    std::string line = header.name + ": " + header.value;
    std::replace_if(
        line.begin(), line.end(),
        [](char c) { return c == '\r' || c == '\n' || c == '\0'; }, ' ');
    list = curl_slist_append(list, line.c_str());
  }
  // Waiting for "100 Continue" would add a round trip or a second to large
  // bodies.
  list = curl_slist_append(list, "Expect:");
  m_headers.reset(list);
  curl_easy_setopt(m_easy.get(), CURLOPT_HTTPHEADER, list);
}

std::size_t HttpTransfer::OnBody(char* data,
                                 std::size_t /*size*/,
                                 std::size_t length,
                                 void* user) {
  auto& transfer = *static_cast<HttpTransfer*>(user);
  if (transfer.m_cancelled) {
    return length;
  }
  long status = 0;
  curl_easy_getinfo(transfer.m_easy.get(), CURLINFO_RESPONSE_CODE, &status);
  if (transfer.m_on_data && status >= 200 && status < 300) {
    transfer.m_on_data(std::string_view(data, length));
    return length;
  }
  if (transfer.m_result.body.size() + length > transfer.m_call.max_body_bytes) {
    transfer.m_fault = kTooLarge;
    return kBreakOff;
  }
  transfer.m_result.body.append(data, length);
  return length;
}

std::size_t HttpTransfer::OnHeader(char* data,
                                   std::size_t /*size*/,
                                   std::size_t length,
                                   void* user) {
  auto& transfer = *static_cast<HttpTransfer*>(user);
  transfer.m_head_bytes += length;
  if (transfer.m_head_bytes > transfer.m_call.max_head_bytes) {
    transfer.m_fault = kTooLarge;
    return kBreakOff;
  }
  std::string_view line(data, length);
  transfer.m_fault = transfer.m_head_check.Feed(line);
  if (!transfer.m_fault.empty()) {
    return kBreakOff;
  }
  while (!line.empty() && (line.back() == '\r' || line.back() == '\n')) {
    line.remove_suffix(1);
  }
  const std::size_t colon = line.find(':');
  if (colon != std::string_view::npos) {
    std::string_view value = line.substr(colon + 1);
    while (!value.empty() && value.front() == ' ') {
      value.remove_prefix(1);
    }
    transfer.m_result.headers.push_back(
        {std::string(line.substr(0, colon)), std::string(value)});
  }
  return length;
}

bool HttpTransfer::IsComplete(CURLcode code) const {
  return code == CURLE_OK && m_head_check.IsComplete();
}

HttpResult::Kind HttpTransfer::ClassifyResult(CURLcode code) const {
  if (IsComplete(code)) {
    return HttpResult::Kind::kComplete;
  }
  CURL* easy = m_easy.get();
  // libcurl counts the request bytes that it handed to the socket; with none
  // the request cannot have run.
  long request_size = 0;
  curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request_size);
  curl_off_t uploaded = 0;
  curl_easy_getinfo(easy, CURLINFO_SIZE_UPLOAD_T, &uploaded);
  if (request_size == 0 && uploaded == 0) {
    return HttpResult::Kind::kNotSent;
  }
  return code == CURLE_OPERATION_TIMEDOUT ? HttpResult::Kind::kTimedOut
                                          : HttpResult::Kind::kBroken;
}

void HttpTransfer::SetEnd(CURLcode code) {
  long status = 0;
  curl_easy_getinfo(m_easy.get(), CURLINFO_RESPONSE_CODE, &status);
  m_result.status = static_cast<int>(status);
  m_result.kind = ClassifyResult(code);
  if (code != CURLE_OK) {
    m_result.error =
        m_fault.empty() ? curl_easy_strerror(code) : std::string(m_fault);
  } else if (!IsComplete(code)) {
    m_result.error =
        "the connection closed before the end of the "
        "response's head";
  }
}

void HttpTransfer::Deliver() {
  if (!m_cancelled && m_on_done) {
    m_on_done(std::move(m_result));
  }
}

}  // namespace jasminehatch::net
