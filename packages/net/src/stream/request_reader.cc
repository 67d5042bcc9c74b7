#include "request_reader.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "jasminehatch/detail/stream/stream_server.h"
#include "message_text.h"

namespace jasminehatch::net {
namespace {

/// First size of the buffer of a body whose length is not announced.
constexpr std::size_t kFirstBodyBytes = 16UL << 10U;

}  // namespace

RequestReader::RequestReader(const CallerLimits& limits, Callbacks callbacks)
    : m_limits(limits), m_callbacks(std::move(callbacks)) {
  m_parser.on_head = [this] { OnHead(); };
  m_parser.on_body = [this](std::string_view data) { OnBody(data); };
  m_parser.on_chunk = [this](std::uint64_t size) {
    if (size > m_limits.body_bytes) {
      m_refusal = m_refusal.value_or(Refusal::kBodyTooLarge);
    }
  };
}

std::size_t RequestReader::Read(std::string_view data) {
  const auto progress = m_parser.Feed(data);
  if (!m_parser.IsHeadComplete() &&
      m_parser.HeadBytes() > m_limits.header_bytes) {
    m_refusal = Refusal::kHeadTooLarge;
  }
  if (!progress.error.empty()) {
    m_refusal = Refusal::kMalformed;
  }
  return progress.consumed;
}

HttpRequest RequestReader::Take() {
  HttpRequest request;
  request.method = std::string(m_parser.Method());
  const std::string& target = m_parser.Target();
  const std::size_t question = target.find('?');
  request.path = target.substr(0, question);
  if (question != std::string::npos) {
    request.query = target.substr(question + 1);
  }
  request.headers = std::move(m_parser.Headers());
  request.body = std::exchange(m_body, {});
  m_parser.Reset();
  return request;
}

void RequestReader::Discard() {
  m_refusal.reset();
  ReleaseBody();
  m_parser.Reset();
}

void RequestReader::OnHead() {
  const HttpHeaders& headers = m_parser.Headers();
  if (m_parser.HeadBytes() > m_limits.header_bytes) {
    m_refusal = Refusal::kHeadTooLarge;
    return;
  }
  if (!m_parser.IsHttp11()) {
    m_refusal = Refusal::kUnsupportedVersion;
    return;
  }
  // http_parser accepts spaces in names and some control characters in values,
  // which another parser may read as further headers.
  if (!std::all_of(headers.begin(), headers.end(), IsValidHeader) ||
      CountHeader(headers, "Host") != 1 || !IsValidTarget(m_parser.Target())) {
    m_refusal = Refusal::kMalformed;
    return;
  }
  if (m_parser.AnnouncedLength() > m_limits.body_bytes) {
    m_refusal = Refusal::kBodyTooLarge;
    return;
  }
  GrowBody(m_parser.AnnouncedLength());
  if (!m_refusal && !FindHeader(headers, "Expect").empty()) {
    m_callbacks.on_continue_expected();
  }
}

void RequestReader::OnBody(std::string_view data) {
  if (m_refusal) {
    return;
  }
  const std::size_t size = m_body.size() + data.size();
  if (size > m_limits.body_bytes) {
    m_refusal = Refusal::kBodyTooLarge;
    return;
  }
  if (size > m_body.capacity()) {
    GrowBody(std::min(std::max({size, 2 * m_body.capacity(), kFirstBodyBytes}),
                      m_limits.body_bytes));
    if (m_refusal) {
      return;
    }
  }
  m_body.append(data);
  m_callbacks.on_body(data.size());
}

void RequestReader::GrowBody(std::size_t bytes) {
  if (bytes <= m_body.capacity()) {
    return;
  }
  if (!m_callbacks.ask_for_memory(bytes)) {
    m_refusal = Refusal::kNoMemory;
    return;
  }
  // The kernel provides the pages of a large buffer as they are written.
  m_body.reserve(bytes);
}

}  // namespace jasminehatch::net
