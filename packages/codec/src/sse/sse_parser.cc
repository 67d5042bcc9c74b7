#include "jasminehatch/detail/sse/sse_parser.h"

#include <algorithm>

#include "jasminehatch/detail/base/exception.h"

namespace jasminehatch::codec {

void SseParser::Feed(std::string_view bytes,
                     const std::function<void(std::string_view)>& on_data) {
  while (!bytes.empty()) {
    const std::size_t end = bytes.find('\n');
    if (end == std::string_view::npos) {
      m_line.append(bytes);
      if (m_line.size() > kMaxEventBytes) {
        throw CodecError(202, "a server-sent event is larger than 1 MiB");
      }
      return;
    }
    if (m_line.empty()) {
      ProcessLine(bytes.substr(0, end), on_data);
    } else {
      m_line.append(bytes.substr(0, end));
      ProcessLine(m_line, on_data);
      m_line.clear();
    }
    bytes.remove_prefix(end + 1);
  }
}

void SseParser::ProcessLine(
    std::string_view line,
    const std::function<void(std::string_view)>& on_data) {
  if (!line.empty() && line.back() == '\r') {
    line.remove_suffix(1);
  }
  if (line.empty()) {
    if (m_has_data) {
      on_data(m_data);
    }
    m_data.clear();
    m_has_data = false;
    return;
  }
  static constexpr std::string_view kField = "data:";
  if (line.substr(0, kField.size()) != kField) {
    return;
  }
  line.remove_prefix(kField.size());
  if (!line.empty() && line.front() == ' ') {
    line.remove_prefix(1);
  }
  if (m_data.size() + line.size() > kMaxEventBytes) {
    throw CodecError(202, "a server-sent event is larger than 1 MiB");
  }
  if (m_has_data) {
    m_data.push_back('\n');
  }
  m_data.append(line);
  m_has_data = true;
}

}  // namespace jasminehatch::codec
