#ifndef JASMINEHATCH_DETAIL_FORWARDING_CACHE_USE_WINDOW_H_
#define JASMINEHATCH_DETAIL_FORWARDING_CACHE_USE_WINDOW_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::forwarding {

/// @brief Bounds the time for which parts of replaced weights are used, so that
/// they can be freed without knowing who still has these weights.
///
/// A daemon uses the parts of a version in cache stores only for `kUseTime`
/// after it last knew that no newer version was published, and each fetch ends
/// within `kFetchTimeout` after that. Both have passed everywhere
/// `kUseTime` + `kFetchTimeout` after a newer version was published, also at
/// daemons and engines that nobody can see.
class CacheUseWindow {
 public:
  /// Time for which parts are used without a new proof that their version is
  /// the newest. Callers with keys are refused earlier.
  static constexpr std::chrono::milliseconds kUseTime{4500};

  /// Time after the start of an attempt at which its engine discards fetches
  /// that have not ended.
  static constexpr std::chrono::milliseconds kFetchTimeout{3000};

  /// Records that all versions published until `confirmed_at` are known.
  void OnConfirmed(MonotonicTime confirmed_at);

  /// Records a published version, read at `now`. Ignored unless it is newer
  /// than the others of the model.
  void OnPublished(const std::string& model,
                   std::uint64_t version,
                   MonotonicTime now);

  /// @return whether parts of these weights may be fetched from cache stores,
  /// or saved there, by an attempt that starts at `now`
  bool MayUse(const std::string& model,
              std::uint64_t version,
              MonotonicTime now) const;

  /// @return whether no fetch of parts of these weights can be in progress or
  /// start any more
  bool MayFree(const std::string& model,
               std::uint64_t version,
               MonotonicTime now) const;

 private:
  struct Published {
    std::uint64_t version = 0;
    MonotonicTime read_at{};  ///< Latest possible time of publication.
    /// Latest time at which the version was known not to be published.
    std::optional<MonotonicTime> unpublished_at;
  };

  /// @return the first version newer than `version`, or null
  const Published* Successor(const std::string& model,
                             std::uint64_t version) const;

  std::optional<MonotonicTime> m_confirmed_at;
  std::map<std::string, std::vector<Published>> m_published;  ///< Oldest first.
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_CACHE_USE_WINDOW_H_
