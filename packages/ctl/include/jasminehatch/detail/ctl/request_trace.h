#ifndef JASMINEHATCH_DETAIL_CTL_REQUEST_TRACE_H_
#define JASMINEHATCH_DETAIL_CTL_REQUEST_TRACE_H_

#include <cstdint>
#include <iosfwd>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace jasminehatch::ctl {

/// @brief The lines of the daemons' decision logs that concern one request.
///
/// Lines are read from any number of logs. A line may have text before its JSON
/// object, such as the name of the machine that a log collector adds.
class RequestTrace {
 public:
  /// @brief A line of a log.
  struct Line {
    std::int64_t time_ms = 0;  ///< By the wall clock of the daemon.
    std::string source;  ///< Word before the object, else the name of the log.
    nlohmann::json fields;
  };

  explicit RequestTrace(std::string request) : m_request(std::move(request)) {}

  /// Reads a whole log. Lines without a JSON object are skipped and counted.
  /// @param name of the log, for the output
  void Read(std::istream& log, const std::string& name);

  /// Sorts the lines by time and keeps those that concern the request: its own
  /// lines, and what the same daemons logged shortly before and during it about
  /// dependencies, their start or stop, and removals of its upstreams.
  void Finish();

  const std::vector<Line>& Lines() const { return m_lines; }

  /// @return descriptions of the lines that are missing from the logs
  const std::vector<std::string>& Gaps() const { return m_gaps; }

  /// @return whether a log has a line of the request
  bool HasRequest() const { return m_has_request; }

  std::uint64_t SkippedLines() const { return m_skipped; }

 private:
  void FindGaps(std::int64_t first_ms, std::int64_t last_ms);

  std::string m_request;
  std::vector<Line> m_lines;
  /// Lines about dependencies, starts, stops and removed upstreams.
  std::vector<Line> m_context;
  std::vector<Line> m_omission_reports;  ///< Lines that report omitted lines.
  std::vector<std::string> m_gaps;
  std::uint64_t m_skipped = 0;
  bool m_has_request = false;
};

}  // namespace jasminehatch::ctl

#endif  // JASMINEHATCH_DETAIL_CTL_REQUEST_TRACE_H_
