#ifndef JASMINEHATCH_DETAIL_ROLLOUT_EVENT_H_
#define JASMINEHATCH_DETAIL_ROLLOUT_EVENT_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace jasminehatch::rollout {

/// @brief A model and the version of its weights.
struct ModelVersion {
  std::string model;
  std::string version;

  friend auto operator<=>(const ModelVersion&, const ModelVersion&) = default;
};

/// @brief When an upstream may begin to load its wanted version.
enum class LoadStart {
  kNow,
  kQuietHours,
};

/// @brief The weights that the configuration wants on one upstream.
struct Target {
  std::string upstream;
  ModelVersion wanted;
  LoadStart start = LoadStart::kQuietHours;
  /// Versions between the loaded and the wanted one; upstreams that are further
  /// behind load first.
  std::uint64_t versions_behind = 0;
};

/// A new configuration is in force; it replaces all targets and ends a pause.
struct TargetsConfigured {
  std::vector<Target> targets;
  std::vector<ModelVersion> in_use;  ///< Versions that some workspace uses.
};

/// An upstream reported the weights that it serves.
struct VersionReported {
  std::string upstream;
  ModelVersion loaded;
  bool serving = true;  ///< False while it loads, drains or cannot be reached.
};

/// The order of a load was sent to the upstream; its time limit begins.
struct LoadOrdered {
  std::string upstream;
};

/// The upstream rejected a load order or failed to load the weights.
struct LoadFailed {
  std::string upstream;
  ModelVersion wanted;
  std::string detail;
};

/// This daemon became, or is no longer, the holder of the lease of the rollout;
/// only the holder orders loads.
struct HolderChanged {
  bool holder = false;
};

/// The local time of day, sent about once a minute.
struct TimeOfDay {
  std::chrono::minutes since_midnight{};
};

/// The time returned by `State::NextTimer` was reached.
struct TimerFired {};

using Event = std::variant<TargetsConfigured,
                           VersionReported,
                           LoadOrdered,
                           LoadFailed,
                           HolderChanged,
                           TimeOfDay,
                           TimerFired>;

}  // namespace jasminehatch::rollout

#endif  // JASMINEHATCH_DETAIL_ROLLOUT_EVENT_H_
