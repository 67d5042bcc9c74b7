#include "jasminehatch/detail/sse/event_splitter.h"

#include <algorithm>

#include "jasminehatch/detail/base/exception.h"

namespace jasminehatch::codec {
namespace {

/// Memory that is kept for further events, in bytes.
constexpr std::size_t kMaxSpareBytes = 32UL << 10U;

/// @return the end of the first event, or npos
std::size_t FindEventEnd(std::string_view text, std::size_t from) {
  for (std::size_t line_end = text.find('\n', from);
       line_end != std::string_view::npos;
       line_end = text.find('\n', line_end + 1)) {
    std::size_t next = line_end + 1;
    if (next < text.size() && text[next] == '\r') {
      ++next;
    }
    if (next < text.size() && text[next] == '\n') {
      return next + 1;
    }
  }
  return std::string_view::npos;
}

std::string_view FindId(std::string_view event) {
  constexpr std::string_view kField = "id:";
  while (!event.empty()) {
    const std::size_t end = std::min(event.find('\n'), event.size());
    std::string_view line = event.substr(0, end);
    event.remove_prefix(std::min(end + 1, event.size()));
    if (!line.starts_with(kField)) {
      continue;
    }
    line.remove_prefix(kField.size());
    while (!line.empty() && line.front() == ' ') {
      line.remove_prefix(1);
    }
    while (!line.empty() && (line.back() == '\r' || line.back() == ' ')) {
      line.remove_suffix(1);
    }
    return line;
  }
  return {};
}

}  // namespace

void EventSplitter::Feed(std::string_view data, const Sink& sink) {
  // The empty line may be split between two calls.
  std::size_t from = m_pending.size() < 3 ? 0 : m_pending.size() - 3;
  m_pending += data;
  std::string_view rest = m_pending;
  std::size_t end = FindEventEnd(rest, from);
  while (end != std::string_view::npos) {
    const std::string_view bytes = rest.substr(0, end);
    sink({bytes, FindId(bytes)});
    rest.remove_prefix(end);
    end = FindEventEnd(rest, 0);
  }
  m_pending.erase(0, m_pending.size() - rest.size());
  if (m_pending.capacity() > kMaxSpareBytes &&
      m_pending.size() <= kMaxSpareBytes / 2) {
    m_pending.shrink_to_fit();
  }
  if (m_pending.size() > kMaxEventBytes) {
    throw CodecError(203, "a server-sent event is larger than 1 MiB");
  }
}

}  // namespace jasminehatch::codec
