#include "jasminehatch/detail/ctl/where_report.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <iomanip>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jasminehatch::ctl {
namespace {

using nlohmann::json;

constexpr std::size_t kColumnCount = 13;
using Row = std::array<std::string, kColumnCount>;

/// Members with remaining times, and how the table names them.
constexpr std::array<std::pair<std::string_view, std::string_view>, 5> kTimes{
    {{"suspended_ms", "suspended"},
     {"paused_ms", "paused"},
     {"pause_requested_ms", "pause_requested"},
     {"loading_ms", "loading"},
     {"cold_ms", "cold"}}};

std::string Number(const json& value) {
  if (value.is_null()) {
    return "-";
  }
  std::ostringstream text;
  text << std::fixed << std::setprecision(2) << value.get<double>();
  return text.str();
}

std::string Integer(const json& value) {
  return value.is_null() ? "-" : std::to_string(value.get<std::int64_t>());
}

std::string Text(const json& value) {
  const auto text = value.get<std::string>();
  return text.empty() ? "-" : text;
}

/// @return why the upstream is excluded, and how long each state lasts
std::string DescribeState(const json& upstream) {
  std::string text;
  const auto add = [&text](const std::string& item) {
    text += (text.empty() ? "" : ",") + item;
  };
  std::vector<std::string> timed;
  for (const auto& [member, name] : kTimes) {
    const json& left = upstream.at(std::string(member));
    if (!left.is_null()) {
      add(std::string(name) + "(" + Integer(left) + " ms)");
      timed.emplace_back(name);
    }
  }
  for (const json& reason : upstream.at("exclusions")) {
    const auto name = reason.get<std::string>();
    if (std::find(timed.begin(), timed.end(), name) == timed.end()) {
      add(name);
    }
  }
  const json& room_in = upstream.at("cold_room_in_ms");
  if (!room_in.is_null() && room_in.get<std::int64_t>() > 0) {
    add("no_room(" + Integer(room_in) + " ms)");
  }
  return text.empty() ? "-" : text;
}

/// @return the tokens that it would fetch, of all tokens of the shared parts
std::string DescribeCache(const json& upstream) {
  if (!upstream.contains("parts") || upstream.at("parts").empty()) {
    return "-";
  }
  std::uint64_t fetched = 0;
  std::uint64_t all = 0;
  for (const json& part : upstream.at("parts")) {
    const auto tokens = part.at("tokens").get<std::uint64_t>();
    all += tokens;
    fetched += part.at("fetch_from").get<std::string>().empty() ? 0 : tokens;
  }
  return std::to_string(fetched) + "/" + std::to_string(all);
}

Row MakeRow(const json& upstream, const std::string& chosen) {
  const bool candidate = upstream.at("candidate").get<bool>();
  const auto of_candidate = [&](const char* member) {
    return candidate ? upstream.at(member) : json(nullptr);
  };
  const auto id = upstream.at("id").get<std::string>();
  const std::uint64_t requests =
      upstream.at("own_requests").get<std::uint64_t>() +
      upstream.at("other_requests").get<std::uint64_t>();
  return {(id == chosen ? "> " : "  ") + id,
          Text(upstream.at("zone")),
          Number(of_candidate("load")),
          Number(of_candidate("load_limit")),
          Integer(of_candidate("prefix_rank")),
          std::to_string(requests) + "/" + Integer(upstream.at("slots")),
          Number(of_candidate("memory_share")),
          DescribeCache(upstream),
          Number(upstream.at("slowdown")),
          Number(upstream.at("failure_share")),
          Integer(upstream.at("weight_version")),
          Integer(upstream.at("load_age_ms")) + "/" +
              Integer(upstream.at("entry_age_ms")),
          DescribeState(upstream)};
}

void PrintTable(const std::vector<Row>& rows, std::ostream& stream) {
  std::array<std::size_t, kColumnCount> widths{};
  for (const Row& row : rows) {
    for (std::size_t i = 0; i < kColumnCount; ++i) {
      widths.at(i) = std::max(widths.at(i), row.at(i).size());
    }
  }
  for (const Row& row : rows) {
    for (std::size_t i = 0; i + 1 < kColumnCount; ++i) {
      stream << std::left << std::setw(static_cast<int>(widths.at(i)) + 2)
             << row.at(i);
    }
    stream << row.back() << '\n';
  }
}

void PrintOutcome(const json& explanation, std::ostream& stream) {
  const json& refusal = explanation.at("refusal");
  if (refusal.is_null()) {
    const json& choice = explanation.at("choice");
    stream << "goes to " << Text(choice.at("upstream")) << ", reason "
           << Text(choice.at("reason")) << '\n';
    return;
  }
  stream << "refused: " << Text(refusal.at("code")) << " (HTTP "
         << Integer(refusal.at("http_status")) << "), "
         << Text(refusal.at("verdict"));
  if (!refusal.at("retry_after_ms").is_null()) {
    stream << ", Retry-After " << Integer(refusal.at("retry_after_ms"))
           << " to " << Integer(refusal.at("max_retry_after_ms")) << " ms";
  }
  stream << ": " << Text(refusal.at("message")) << '\n';
  if (refusal.at("may_probe").get<bool>()) {
    stream << "may be let through at random as a probe\n";
  }
}

}  // namespace

void PrintExplanation(const json& explanation, std::ostream& stream) {
  stream << "route " << Text(explanation.at("route")) << ", workspace "
         << Text(explanation.at("workspace")) << ", service "
         << Text(explanation.at("service")) << ", priority "
         << Integer(explanation.at("priority")) << ", configuration "
         << Integer(explanation.at("configuration_version")) << " (proved "
         << Integer(explanation.at("proof_age_ms")) << " ms ago)\n";
  PrintOutcome(explanation, stream);
  const json& upstreams = explanation.at("upstreams");
  if (upstreams.empty()) {
    return;
  }
  if (explanation.at("suspensions_ignored").get<bool>()) {
    stream << "temporarily excluded upstreams are candidates, since there are "
              "no others\n";
  }
  stream << "preferred " << Text(explanation.at("preferred")) << ", mean load "
         << Number(explanation.at("mean_load")) << ", required weights "
         << Integer(explanation.at("min_weight_version"))
         << ", reports of other daemons up to "
         << Integer(explanation.at("peer_report_age_ms")) << " ms old\n\n";
  std::vector<Row> rows{{"  UPSTREAM", "ZONE", "LOAD", "LIMIT", "RANK",
                         "REQUESTS", "MEMORY", "FETCHED", "SLOWDOWN",
                         "FAILURES", "WEIGHTS", "AGES_MS", "STATE"}};
  const json& choice = explanation.at("choice");
  const std::string chosen =
      choice.is_null() ? "" : choice.at("upstream").get<std::string>();
  for (const json& upstream : upstreams) {
    rows.push_back(MakeRow(upstream, chosen));
  }
  PrintTable(rows, stream);
}

}  // namespace jasminehatch::ctl
