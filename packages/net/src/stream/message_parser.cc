#include "message_parser.h"

#include <utility>

namespace jasminehatch::net {
namespace {

/// Header lines of a message. A line of a few bytes takes many times as much
/// memory as on the wire.
constexpr std::size_t kMaxHeaders = 256;

/// Memory of a target that is kept for the next message, in bytes.
constexpr std::size_t kMaxSpareTargetBytes = 1024;

MessageParser& Self(http_parser* parser) {
  return *static_cast<MessageParser*>(parser->data);
}

}  // namespace

MessageParser::MessageParser(http_parser_type type) : m_type(type) {
  Reset();
}

void MessageParser::Reset() {
  http_parser_init(&m_parser, m_type);
  m_parser.data = this;
  m_head_check.Reset();
  m_target.clear();
  if (m_target.capacity() > kMaxSpareTargetBytes) {
    m_target.shrink_to_fit();
  }
  HttpHeaders().swap(m_headers);
  m_announced_length = 0;
  m_head_bytes = 0;
  m_in_value = false;
  m_head_complete = false;
  m_message_complete = false;
  m_keep_alive = false;
  m_chunked = false;
  m_no_body = false;
}

http_parser_settings MessageParser::Settings() {
  http_parser_settings settings;
  http_parser_settings_init(&settings);
  settings.on_url = [](http_parser* p, const char* at, std::size_t length) {
    Self(p).m_target.append(at, length);
    Self(p).m_head_bytes += length;
    return 0;
  };
  settings.on_header_field = [](http_parser* p, const char* at,
                                std::size_t length) {
    MessageParser& self = Self(p);
    self.m_head_bytes += length;
    if (self.m_head_complete) {
      return 0;  // Trailers are not passed on.
    }
    if (self.m_in_value || self.m_headers.empty()) {
      if (self.m_headers.size() == kMaxHeaders) {
        return 1;  // Ends the message with an error.
      }
      self.m_headers.emplace_back();
      self.m_in_value = false;
    }
    self.m_headers.back().name.append(at, length);
    return 0;
  };
  settings.on_header_value = [](http_parser* p, const char* at,
                                std::size_t length) {
    MessageParser& self = Self(p);
    self.m_head_bytes += length;
    if (self.m_head_complete) {
      return 0;
    }
    self.m_in_value = true;
    self.m_headers.back().value.append(at, length);
    return 0;
  };
  settings.on_headers_complete = [](http_parser* p) {
    MessageParser& self = Self(p);
    self.m_head_complete = true;
    self.m_keep_alive = http_should_keep_alive(p) != 0;
    self.m_chunked = (p->flags & F_CHUNKED) != 0;
    self.m_announced_length = p->content_length;
    if (self.on_head) {
      self.on_head();
    }
    return self.m_no_body ? 1 : 0;
  };
  settings.on_body = [](http_parser* p, const char* at, std::size_t length) {
    if (Self(p).on_body) {
      Self(p).on_body(std::string_view(at, length));
    }
    return 0;
  };
  settings.on_chunk_header = [](http_parser* p) {
    if (Self(p).on_chunk) {
      Self(p).on_chunk(p->content_length);
    }
    return 0;
  };
  settings.on_message_complete = [](http_parser* p) {
    Self(p).m_message_complete = true;
    // Bytes after the message belong to the next one, or to none.
    http_parser_pause(p, 1);
    return 0;
  };
  return settings;
}

MessageParser::Progress MessageParser::Feed(std::string_view data) {
  static const http_parser_settings kSettings = Settings();
  Progress progress;
  if (m_type == HTTP_RESPONSE) {
    progress.error = m_head_check.Feed(data);
    if (!progress.error.empty()) {
      return progress;
    }
  }
  progress.consumed =
      http_parser_execute(&m_parser, &kSettings, data.data(), data.size());
  const http_errno error = HTTP_PARSER_ERRNO(&m_parser);
  if (m_message_complete) {
    if (m_parser.upgrade != 0 && error == HPE_OK) {
      return progress;
    }
    // http_parser pauses after the last byte of the message; `consumed`
    // includes that byte.
    http_parser_pause(&m_parser, 0);
    return progress;
  }
  if (error != HPE_OK) {
    progress.error = http_errno_description(error);
  } else if (m_parser.upgrade != 0) {
    progress.error = "a protocol upgrade is not supported";
  }
  return progress;
}

bool MessageParser::FeedEof() {
  if (m_message_complete) {
    return true;
  }
  if (!m_head_complete) {
    return false;
  }
  Feed({});
  return m_message_complete;
}

}  // namespace jasminehatch::net
