#ifndef JASMINEHATCH_DETAIL_FORWARDING_UPSTREAM_DIRECTORY_H_
#define JASMINEHATCH_DETAIL_FORWARDING_UPSTREAM_DIRECTORY_H_

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/forwarding/event.h"
#include "jasminehatch/detail/forwarding/options.h"
#include "jasminehatch/detail/forwarding/upstream.h"

namespace jasminehatch::forwarding {

/// @return the beginning of the salts of cached parts that were made on these
/// weights
std::string SaltPrefix(const std::string& model, std::uint64_t version);

/// @brief The upstreams that the registry names, and the weights in force.
class UpstreamDirectory {
 public:
  /// @brief The newest version named for a model.
  struct NamedWeights {
    std::uint64_t version = 0;
    MonotonicTime named_at{};
    bool age_known = true;  ///< Else it may have been named long before.
  };

  void Register(const UpstreamEntry& entry);

  /// Removes an upstream, at once or, shortly after an outage of the registry,
  /// when the grace has passed.
  void Remove(const std::string& id, MonotonicTime now);

  /// Replaces all entries.
  void List(std::span<const UpstreamEntry> entries, MonotonicTime now);

  void Regained(MonotonicTime now, const Options& options) {
    m_removals_wait_until = now + options.lapse_grace;
  }

  void NameWeights(const WeightsNamed& named, MonotonicTime now);

  /// Notes the weights that an upstream showed; versions never go back.
  void ObserveWeights(const WeightsObserved& seen);

  /// Notes that an upstream rejected the weights it was thought to have.
  void RejectWeights(const std::string& id, const std::string& model);

  /// @return the upstream, or null
  Upstream* Find(const std::string& id);
  const Upstream* Find(const std::string& id) const;

  /// @return all upstreams of a service, also such that cannot be used
  std::span<Upstream* const> Of(const std::string& service) const;

  /// @return whether the registry says that the upstream may be used
  bool Usable(const Upstream& upstream, MonotonicTime now) const;

  /// @return the newest weights of the model, if any were named
  std::optional<NamedWeights> Named(const std::string& model) const;

  /// @return whether a salt is of weights that newer named ones have replaced
  /// at all upstreams. Weights of which nothing newer is known are in use, also
  /// where no upstream is known to have them.
  bool AreReplaced(std::string_view salt) const;

  /// @return the version below which no request may start: the newest one that
  /// was named at least `limit` ago, or 0
  std::uint64_t Required(const std::string& model,
                         MonotonicTime now,
                         Duration limit) const;

  /// @return the versions named for each model, oldest first
  const std::map<std::string, std::vector<NamedWeights>>& AllNamed() const {
    return m_named;
  }
  std::size_t Size() const { return m_upstreams.size(); }
  const std::map<std::string, std::unique_ptr<Upstream>>& All() const {
    return m_upstreams;
  }

 private:
  void Erase(const std::string& id);

  std::map<std::string, std::unique_ptr<Upstream>> m_upstreams;
  std::unordered_map<std::string, std::vector<Upstream*>> m_by_service;
  std::map<std::string, std::vector<NamedWeights>> m_named;
  std::optional<MonotonicTime> m_removals_wait_until;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_UPSTREAM_DIRECTORY_H_
