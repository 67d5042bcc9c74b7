#ifndef JASMINEHATCH_DETAIL_DAEMON_CALLER_TABLE_H_
#define JASMINEHATCH_DETAIL_DAEMON_CALLER_TABLE_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "jasminehatch/detail/base/refusal.h"
#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/base/verdict.h"
#include "jasminehatch/detail/daemon/caller.h"

namespace jasminehatch::telemetry {
class Metrics;
}

namespace jasminehatch::daemon {

/// @brief The callers with a request in progress.
class CallerTable {
 public:
  explicit CallerTable(telemetry::Metrics& metrics) : m_metrics(metrics) {}

  /// Sets a function that is called whenever the table becomes empty.
  void SetIdleCallback(std::function<void()> callback) {
    m_on_idle = std::move(callback);
  }

  Caller& Add(RequestId id, Caller caller);

  /// @return the caller, or null when it has its response or has left
  Caller* Find(RequestId id);

  void Remove(RequestId id);

  /// Refuses the request and removes the caller. A stream that has started ends
  /// with an error event and without the closing `[DONE]` event.
  void Refuse(RequestId id,
              RefusalCode code,
              Verdict verdict,
              std::string_view detail,
              std::optional<Duration> retry_after);

  std::size_t Size() const { return m_callers.size(); }

 private:
  telemetry::Metrics& m_metrics;
  std::unordered_map<RequestId, Caller> m_callers;
  std::function<void()> m_on_idle;
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_DAEMON_CALLER_TABLE_H_
