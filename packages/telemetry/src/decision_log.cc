#include "jasminehatch/detail/telemetry/decision_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <nlohmann/json.hpp>

namespace jasminehatch::telemetry {
namespace {

/// Share of the largest budget that each level leaves to more important levels.
constexpr std::array<double, 3> kReservedShare{0.6, 0.2, 0.0};

/// Size of the buffered lines at which they are written, in bytes.
constexpr std::size_t kFlushSize = 8192;

}  // namespace

DecisionLog::DecisionLog(int descriptor,
                         const Clock& clock,
                         const Options& options)
    : m_descriptor(descriptor),
      m_clock(clock),
      m_options(options),
      m_budget(options.burst_bytes),
      m_budget_updated_at(clock.Now()) {
  const int flags = fcntl(descriptor, F_GETFL);
  if (flags >= 0) {
    fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

DecisionLog::~DecisionLog() {
  Flush();
}

bool DecisionLog::TryConsumeBudget(Level level, std::size_t bytes) {
  const MonotonicTime now = m_clock.Now();
  const double seconds =
      std::chrono::duration<double>(now - m_budget_updated_at).count();
  m_budget_updated_at = now;
  m_budget = std::min(m_budget + seconds * m_options.bytes_per_second,
                      m_options.burst_bytes);
  const double reserved = kReservedShare.at(static_cast<std::size_t>(level)) *
                          m_options.burst_bytes;
  if (m_budget - static_cast<double>(bytes) < reserved ||
      m_pending.size() + bytes > m_options.pending_limit) {
    return false;
  }
  m_budget -= static_cast<double>(bytes);
  return true;
}

void DecisionLog::Write(Level level,
                        std::string_view event,
                        std::span<const DecisionLogField> fields) {
  const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
      m_clock.WallNow().time_since_epoch());
  nlohmann::ordered_json line;
  line["time_ms"] = wall.count();
  line["event"] = event;
  for (const DecisionLogField& field : fields) {
    line[std::string(field.name)] = field.value;
  }
  if (m_dropped > 0) {
    line["lines_left_out"] = m_dropped;
  }
  const std::string text =
      line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
      "\n";
  if (!TryConsumeBudget(level, text.size())) {
    ++m_dropped;
    ++m_dropped_total;
    return;
  }
  m_dropped = 0;
  m_pending += text;
  if (m_pending.size() >= kFlushSize) {
    Flush();
  }
}

void DecisionLog::Flush() {
  while (!m_pending.empty()) {
    const ssize_t written =
        write(m_descriptor, m_pending.data(), m_pending.size());
    if (written <= 0) {
      return;
    }
    m_pending.erase(0, static_cast<std::size_t>(written));
  }
}

}  // namespace jasminehatch::telemetry
