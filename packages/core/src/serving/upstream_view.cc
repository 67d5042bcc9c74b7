#include "jasminehatch/detail/serving/upstream_view.h"

#include <algorithm>

namespace jasminehatch::serving {

bool UpstreamView::HoldsVersion(std::string_view version) const {
  if (version.empty()) {
    return true;
  }
  if (!report || report->weight_version.empty()) {
    return spec.weight_version == version;
  }
  return report->weight_version == version &&
         (reported_at >= version_configured_at ||
          spec.weight_version == version);
}

bool UpstreamView::Serves(std::string_view model,
                          std::string_view version,
                          MonotonicTime now) const {
  return MayBeUsed() && reachable && spec.model == model &&
         !(report && report->loading) &&
         (!paused_until || *paused_until <= now) && HoldsVersion(version);
}

void UpstreamView::AddRunning(const Running& attempt) {
  running.push_back(attempt);
  ++in_flight;
  ++sent_since_report;
  tokens_since_report += attempt.tokens;
}

void UpstreamView::RemoveRunning(AttemptId attempt) {
  const auto found = std::find_if(
      running.begin(), running.end(),
      [&](const Running& entry) { return entry.attempt == attempt; });
  if (found == running.end()) {
    return;
  }
  if (!report || found->sent_at >= reported_at) {
    --sent_since_report;
    tokens_since_report -= found->tokens;
  }
  *found = running.back();
  running.pop_back();
  --in_flight;
}

void UpstreamView::RecountSends() {
  sent_since_report = 0;
  tokens_since_report = 0;
  for (const Running& entry : running) {
    if (entry.sent_at >= reported_at) {
      ++sent_since_report;
      tokens_since_report += entry.tokens;
    }
  }
}

}  // namespace jasminehatch::serving
