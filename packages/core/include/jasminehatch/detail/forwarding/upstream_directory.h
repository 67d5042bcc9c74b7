#ifndef JASMINEHATCH_DETAIL_FORWARDING_UPSTREAM_DIRECTORY_H_
#define JASMINEHATCH_DETAIL_FORWARDING_UPSTREAM_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/forwarding/event.h"
#include "jasminehatch/detail/forwarding/options.h"
#include "jasminehatch/detail/forwarding/removed_processes.h"
#include "jasminehatch/detail/forwarding/removed_upstream_notices.h"
#include "jasminehatch/detail/forwarding/software_history.h"
#include "jasminehatch/detail/forwarding/upstream.h"

namespace jasminehatch::forwarding {

/// @brief The upstreams of the registry and the published weights.
class UpstreamDirectory {
 public:
  /// @brief A weight version published for a model.
  struct PublishedWeights {
    std::uint64_t version = 0;
    MonotonicTime published_by{};  ///< Latest possible time of publication.
    /// If false, it may have been published long before `published_by`.
    bool publish_time_known = true;
  };

  /// @param just_written false for an entry of a snapshot, whose age is unknown
  void Register(const UpstreamEntry& entry,
                MonotonicTime now,
                bool just_written = true);

  /// Removes an upstream; shortly after an outage of the registry, it stays in
  /// use until the grace period has passed.
  void Remove(const std::string& id, MonotonicTime now);

  /// Replaces all entries; removes upstreams without one.
  void ReplaceAll(std::span<const UpstreamEntry> entries, MonotonicTime now);

  /// Adds the processes of which nothing is known, and no longer uses known
  /// ones that drain in the copy. It tells nothing else of known ones: they may
  /// have begun to drain, or left, after it.
  void AddFromOlderCopy(std::span<const UpstreamEntry> entries,
                        MonotonicTime now);

  void OnRegistryRecovered(MonotonicTime now, const Options& options) {
    m_removals_deferred_until = now + options.removal_grace_period;
  }

  void OnWeightsPublished(const WeightsPublished& published, MonotonicTime now);

  /// Applies what a peer knows of the age of a version. Ignored if the version
  /// is newer than all that this daemon has read.
  void OnPublicationAge(const PublicationAge& publication, MonotonicTime now);

  /// Records the load that an upstream reported, and its speed, if any.
  void OnLoad(const LoadObserved& observed, MonotonicTime now);

  /// Records the weights that an upstream reported; versions never decrease.
  void OnWeightsObserved(const WeightsObserved& observed);

  /// Records that an upstream began or finished loading weights.
  /// @param until when it is used again at the latest
  void OnLoading(const UpstreamLoading& event, MonotonicTime until);

  /// Records that an upstream rejected the weight version expected of it.
  void OnWeightsRejected(const std::string& id, const std::string& model);

  /// Records that a process said that it is leaving. No registry entry of the
  /// same process undoes it.
  /// @return whether this is new and of the registered process
  bool OnLeaving(const UpstreamLeaving& event, MonotonicTime now);

  /// Records that an upstream asked for no requests for some time.
  /// @return whether it did not pause already
  bool OnPauseRequested(const UpstreamPauseRequested& event, MonotonicTime now);

  /// Records a software version of upstreams that may be gone.
  void OnSoftwareVersionSeen(const SoftwareVersionSeen& seen,
                             MonotonicTime now) {
    m_software_history.OnSeen(seen.service, seen.version, now);
  }

  /// @return the software versions of the service's upstreams, also of those
  /// that were removed since the oldest streams began that can be resumed
  std::set<std::string> RecentSoftwareVersions(const std::string& service,
                                               MonotonicTime now) const;

  /// @return when the first upstream with this software version joined the
  /// service; empty if it was found at the start of this daemon
  std::optional<MonotonicTime> SoftwareJoinedAt(
      const std::string& service,
      const std::string& version) const {
    return m_software_history.JoinedAt(service, version);
  }

  /// @return the upstream, or null
  Upstream* Find(const std::string& id);
  const Upstream* Find(const std::string& id) const;

  /// @return all upstreams of a service, including those that are not usable
  std::span<Upstream* const> OfService(const std::string& service) const;

  /// @return whether the upstream may be used according to the registry and its
  /// own notices
  bool IsUsable(const Upstream& upstream, MonotonicTime now) const;

  /// @return the newest published weights of the model, if any
  std::optional<PublishedWeights> NewestPublished(
      const std::string& model) const;

  /// @return the minimum version for new attempts at the service: the newest
  /// one whose time limit has passed, or may have passed if its time of
  /// publication is not known; 0 if there is none
  std::uint64_t MinVersion(const std::string& model,
                           const std::string& service,
                           MonotonicTime now,
                           const Options& options) const;

  /// @return the newest version that was published at least
  /// `Options::version_soft_limit` ago, or 0
  std::uint64_t FavoredVersion(const std::string& model,
                               MonotonicTime now,
                               const Options& options) const;

  /// @return the ages of the versions that matter to the choice of upstreams:
  /// of each model, newest first, all up to the first one whose limit of
  /// `required_age` has passed. Models whose newest version has at least
  /// `max_newest_age` are left out; no model is included in part, since a
  /// version would then hide the limit of the one before it.
  std::vector<PublicationAge> PublicationAges(MonotonicTime now,
                                              Duration required_age,
                                              Duration max_newest_age) const;

  /// @return the versions published for each model, oldest first
  const std::map<std::string, std::vector<PublishedWeights>>& AllPublished()
      const {
    return m_published;
  }
  std::size_t Size() const { return m_upstreams.size(); }
  const std::map<std::string, std::unique_ptr<Upstream>>& All() const {
    return m_upstreams;
  }

 private:
  void Erase(const std::string& id, MonotonicTime now);

  /// Records the software version of a process that is about to be added.
  void RecordSoftware(const UpstreamEntry& entry,
                      MonotonicTime now,
                      bool just_written);

  /// @return the newest weights of the model at an upstream of the service, or
  /// 0
  std::uint64_t NewestInUse(const std::string& model,
                            const std::string& service) const;

  std::map<std::string, std::unique_ptr<Upstream>> m_upstreams;
  std::unordered_map<std::string, std::vector<Upstream*>> m_by_service;
  std::map<std::string, std::vector<PublishedWeights>> m_published;
  std::optional<MonotonicTime> m_removals_deferred_until;
  RemovedUpstreamNotices m_removed_notices;
  RemovedProcesses m_removed_processes;
  SoftwareHistory m_software_history;
  bool m_has_been_listed = false;  ///< All entries were read at least once.
  std::uint64_t m_last_entry_number = 0;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_UPSTREAM_DIRECTORY_H_
