#include "jasminehatch/detail/ctl/request_trace.h"

#include <algorithm>
#include <array>
#include <istream>
#include <set>
#include <sstream>

namespace jasminehatch::ctl {
namespace {

/// A dependency that was lost up to this long before a request may explain how
/// the request ended.
constexpr std::int64_t kContextMs = 5000;

/// A daemon reports omitted lines with the next line that it writes, so the
/// report may come this long after the request.
constexpr std::int64_t kOmissionReportMs = 2000;

constexpr std::array<std::string_view, 2> kStartEvents{"placed", "refused"};
constexpr std::array<std::string_view, 3> kEndEvents{"answered", "refused",
                                                     "caller_left"};

std::string Text(const nlohmann::json& fields, const char* name) {
  const auto found = fields.find(name);
  return found == fields.end() || !found->is_string()
             ? std::string()
             : found->get<std::string>();
}

template <std::size_t kSize>
bool IsOneOf(const RequestTrace::Line& line,
             const std::array<std::string_view, kSize>& events) {
  return std::find(events.begin(), events.end(), Text(line.fields, "event")) !=
         events.end();
}

bool IsContext(const RequestTrace::Line& line) {
  const std::string event = Text(line.fields, "event");
  return event.starts_with("dependency_") || event == "started" ||
         event == "stopping" || event == "upstream_removed";
}

/// @return the last word of a text, such as the machine that a log collector
/// writes before a line; empty when there is none
std::string LastWord(const std::string& text) {
  std::istringstream words(text);
  std::string last;
  for (std::string word; words >> word;) {
    last = word;
  }
  return last;
}

}  // namespace

void RequestTrace::Read(std::istream& log, const std::string& name) {
  for (std::string text; std::getline(log, text);) {
    const std::size_t brace = text.find('{');
    if (brace == std::string::npos) {
      ++m_skipped;
      continue;
    }
    Line line;
    line.fields =
        nlohmann::json::parse(text.begin() + static_cast<std::ptrdiff_t>(brace),
                              text.end(), nullptr, false);
    if (!line.fields.is_object() || !line.fields.contains("event")) {
      ++m_skipped;
      continue;
    }
    line.time_ms = line.fields.value("time_ms", std::int64_t{0});
    const std::string machine = LastWord(text.substr(0, brace));
    line.source = machine.empty() ? name : machine;
    if (line.fields.contains("lines_left_out")) {
      m_omission_reports.push_back(line);
    }
    if (Text(line.fields, "request") == m_request) {
      m_lines.push_back(std::move(line));
    } else if (IsContext(line)) {
      m_context.push_back(std::move(line));
    }
  }
}

void RequestTrace::Finish() {
  m_has_request = !m_lines.empty();
  if (!m_has_request) {
    m_gaps.emplace_back("no log has a line of the request");
    return;
  }
  const auto by_time = [](const Line& left, const Line& right) {
    return left.time_ms < right.time_ms;
  };
  std::stable_sort(m_lines.begin(), m_lines.end(), by_time);
  const std::int64_t first = m_lines.front().time_ms;
  const std::int64_t last = m_lines.back().time_ms;
  FindGaps(first, last);
  std::set<std::string> sources;
  std::set<std::string> upstreams;
  for (const Line& line : m_lines) {
    sources.insert(line.source);
    upstreams.insert(Text(line.fields, "upstream"));
  }
  for (const Line& line : m_context) {
    const bool other_upstream =
        Text(line.fields, "event") == "upstream_removed" &&
        !upstreams.contains(Text(line.fields, "dependency"));
    if (sources.contains(line.source) && !other_upstream &&
        line.time_ms >= first - kContextMs && line.time_ms <= last) {
      m_lines.push_back(line);
    }
  }
  std::stable_sort(m_lines.begin(), m_lines.end(), by_time);
}

void RequestTrace::FindGaps(std::int64_t first_ms, std::int64_t last_ms) {
  const auto any = [this](const auto& events) {
    return std::any_of(m_lines.begin(), m_lines.end(),
                       [&](const Line& line) { return IsOneOf(line, events); });
  };
  if (!any(kStartEvents)) {
    m_gaps.emplace_back("no line says where the request was first sent");
  }
  if (!any(kEndEvents)) {
    m_gaps.emplace_back("no line says how the request ended");
  }
  for (const Line& line : m_omission_reports) {
    const bool same_log =
        std::any_of(m_lines.begin(), m_lines.end(),
                    [&](const Line& own) { return own.source == line.source; });
    if (same_log && line.time_ms >= first_ms &&
        line.time_ms <= last_ms + kOmissionReportMs) {
      m_gaps.push_back(line.source + " left out " +
                       line.fields["lines_left_out"].dump() +
                       " lines for its log budget around this time");
    }
  }
}

}  // namespace jasminehatch::ctl
