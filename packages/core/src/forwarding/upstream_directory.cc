#include "jasminehatch/detail/forwarding/upstream_directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace jasminehatch::forwarding {
namespace {

/// Maximum number of versions that are kept of each model. Each one becomes
/// mandatory some time after its own publication, so the last one alone would
/// not do.
constexpr std::size_t kMaxVersions = 16;

/// Drops the oldest version if there are too many. The next one becomes
/// mandatory in its place, since no version in between is known any more.
void DropOldest(std::vector<UpstreamDirectory::PublishedWeights>& versions) {
  if (versions.size() <= kMaxVersions) {
    return;
  }
  const auto dropped = versions.front();
  versions.erase(versions.begin());
  versions.front().published_by = dropped.published_by;
  versions.front().publish_time_known =
      versions.front().publish_time_known && dropped.publish_time_known;
}

}  // namespace

void UpstreamDirectory::Register(const UpstreamEntry& entry,
                                 MonotonicTime now,
                                 bool just_written) {
  m_removed_processes.OnRegistered(entry.id);
  if (Upstream* known = Find(entry.id)) {
    if (known->entry.started_at == entry.started_at &&
        known->entry.service == entry.service &&
        known->entry.address == entry.address &&
        known->entry.software_version == entry.software_version) {
      const auto weights = known->entry.weights;
      known->entry = entry;
      known->entry.weights = weights;
      known->entry_read_at = now;
      known->removed_until.reset();
      known->warm_up.OnEntry(entry.warm_up_left, just_written, now);
      if (just_written) {
        known->replacement.OnRecord(now);
      }
      for (const auto& [model, version] : entry.weights) {
        OnWeightsObserved({entry.id, model, version});
      }
      return;
    }
    // What was known of the earlier process does not apply after a restart.
    Erase(entry.id, now);
  }
  RecordSoftware(entry, now, just_written);
  auto upstream = std::make_unique<Upstream>();
  upstream->entry = entry;
  upstream->entry_number = ++m_last_entry_number;
  upstream->entry_read_at = now;
  upstream->notice = m_removed_notices.Take(entry.id, entry.started_at, now);
  upstream->warm_up.OnEntry(entry.warm_up_left, just_written, now);
  m_by_service[entry.service].push_back(upstream.get());
  m_upstreams.emplace(entry.id, std::move(upstream));
}

void UpstreamDirectory::RecordSoftware(const UpstreamEntry& entry,
                                       MonotonicTime now,
                                       bool just_written) {
  const bool found_at_start = !just_written && !m_has_been_listed;
  const auto others = OfService(entry.service);
  const bool is_running = std::any_of(
      others.begin(), others.end(), [&entry](const Upstream* other) {
        return other->entry.software_version == entry.software_version;
      });
  if (!found_at_start && !is_running) {
    m_software_history.OnJoined(entry.service, entry.software_version, now);
  }
}

void UpstreamDirectory::Erase(const std::string& id, MonotonicTime now) {
  const auto found = m_upstreams.find(id);
  if (found == m_upstreams.end()) {
    return;
  }
  const Upstream& upstream = *found->second;
  if (upstream.notice != UpstreamNotice{}) {
    m_removed_notices.Store(id, upstream.entry.started_at, upstream.notice);
  }
  m_software_history.OnSeen(upstream.entry.service,
                            upstream.entry.software_version, now);
  std::erase(m_by_service[upstream.entry.service], &upstream);
  m_upstreams.erase(found);
}

std::set<std::string> UpstreamDirectory::RecentSoftwareVersions(
    const std::string& service,
    MonotonicTime now) const {
  std::set<std::string> versions = m_software_history.Recent(service, now);
  for (const Upstream* upstream : OfService(service)) {
    versions.insert(upstream->entry.software_version);
  }
  return versions;
}

void UpstreamDirectory::Remove(const std::string& id, MonotonicTime now) {
  Upstream* upstream = Find(id);
  if (upstream == nullptr) {
    return;
  }
  m_removed_processes.Add(id, upstream->entry.started_at);
  if (m_removals_deferred_until && now < *m_removals_deferred_until) {
    // A later outage says nothing about an upstream that was removed before it.
    if (!upstream->removed_until) {
      upstream->removed_until = m_removals_deferred_until;
    }
    return;
  }
  Erase(id, now);
}

void UpstreamDirectory::ReplaceAll(std::span<const UpstreamEntry> entries,
                                   MonotonicTime now) {
  std::set<std::string> listed;
  for (const UpstreamEntry& entry : entries) {
    listed.insert(entry.id);
    Register(entry, now, false);
  }
  m_has_been_listed = true;
  std::vector<std::string> removed;
  for (const auto& [id, upstream] : m_upstreams) {
    if (!listed.contains(id)) {
      removed.push_back(id);
    }
  }
  for (const std::string& id : removed) {
    Remove(id, now);
  }
}

void UpstreamDirectory::AddFromOlderCopy(std::span<const UpstreamEntry> entries,
                                         MonotonicTime now) {
  for (const UpstreamEntry& entry : entries) {
    Upstream* known = Find(entry.id);
    if (known != nullptr && entry.started_at == known->entry.started_at) {
      // A process that drains does not become ready again.
      known->entry.draining = known->entry.draining || entry.draining;
    }
    const bool is_outdated =
        known != nullptr
            ? entry.started_at <= known->entry.started_at
            : m_removed_processes.Contains(entry.id, entry.started_at);
    if (!is_outdated) {
      Register(entry, now, false);
    }
  }
}

void UpstreamDirectory::OnWeightsPublished(const WeightsPublished& published,
                                           MonotonicTime now) {
  std::vector<PublishedWeights>& versions = m_published[published.model];
  if (versions.empty() || published.version > versions.back().version) {
    versions.push_back({published.version, now, published.publish_time_known});
  }
  DropOldest(versions);
}

void UpstreamDirectory::OnPublicationAge(const PublicationAge& publication,
                                         MonotonicTime now) {
  const auto found = m_published.find(publication.model);
  if (found == m_published.end() ||
      publication.version > found->second.back().version) {
    return;
  }
  std::vector<PublishedWeights>& versions = found->second;
  const MonotonicTime published_by = now - publication.age;
  auto at = std::lower_bound(
      versions.begin(), versions.end(), publication.version,
      [](const PublishedWeights& published, std::uint64_t version) {
        return published.version < version;
      });
  if (at->version != publication.version) {
    at = versions.insert(at, {publication.version, published_by, false});
  }
  at->publish_time_known =
      at->publish_time_known || publication.publish_time_known;
  // Earlier versions were published before this one.
  for (auto published = versions.begin(); published != at + 1; ++published) {
    published->published_by = std::min(published->published_by, published_by);
  }
  DropOldest(versions);
}

void UpstreamDirectory::OnLoad(const LoadObserved& observed,
                               MonotonicTime now) {
  Upstream* upstream = Find(observed.upstream);
  if (upstream == nullptr) {
    return;
  }
  upstream->OnLoadReport(observed.running, observed.waiting, now);
  if (observed.slowdown) {
    upstream->speed.OnReport(*observed.slowdown, now);
  }
}

void UpstreamDirectory::OnWeightsObserved(const WeightsObserved& observed) {
  if (Upstream* upstream = Find(observed.upstream)) {
    std::uint64_t& version = upstream->entry.weights[observed.model];
    if (observed.version > version) {
      version = observed.version;
      upstream->loading_until.reset();
    }
  }
}

void UpstreamDirectory::OnLoading(const UpstreamLoading& event,
                                  MonotonicTime until) {
  if (Upstream* upstream = Find(event.upstream)) {
    upstream->loading_until =
        event.loading ? std::optional(until) : std::nullopt;
  }
}

void UpstreamDirectory::OnWeightsRejected(const std::string& id,
                                          const std::string& model) {
  Upstream* upstream = Find(id);
  if (upstream == nullptr) {
    return;
  }
  const auto published = NewestPublished(model);
  std::uint64_t& version = upstream->entry.weights[model];
  // An upstream usually rejects a version because it has just loaded the newest
  // one. If it was already thought to have that one, its version is unknown
  // (0).
  version = published && published->version > version ? published->version : 0;
}

bool UpstreamDirectory::OnPauseRequested(const UpstreamPauseRequested& event,
                                         MonotonicTime now) {
  Upstream* upstream = Find(event.upstream);
  if (upstream == nullptr) {
    UpstreamNotice notice =
        m_removed_notices.Take(event.upstream, event.started_at, now);
    notice.ExtendPause(event.pause, now);
    m_removed_notices.Store(event.upstream, event.started_at, notice);
    return false;
  }
  const bool paused_before = upstream->notice.PausesAt(now);
  upstream->notice.ExtendPause(event.pause, now);
  return !paused_before;
}

bool UpstreamDirectory::OnLeaving(const UpstreamLeaving& event,
                                  MonotonicTime now) {
  Upstream* upstream = Find(event.upstream);
  if (upstream == nullptr) {
    if (event.started_at) {
      UpstreamNotice notice =
          m_removed_notices.Take(event.upstream, *event.started_at, now);
      notice.leaving = true;
      m_removed_notices.Store(event.upstream, *event.started_at, notice);
    }
    return false;
  }
  if (event.started_at && *event.started_at != upstream->entry.started_at) {
    return false;
  }
  return !std::exchange(upstream->notice.leaving, true);
}

Upstream* UpstreamDirectory::Find(const std::string& id) {
  const auto found = m_upstreams.find(id);
  return found == m_upstreams.end() ? nullptr : found->second.get();
}

const Upstream* UpstreamDirectory::Find(const std::string& id) const {
  const auto found = m_upstreams.find(id);
  return found == m_upstreams.end() ? nullptr : found->second.get();
}

std::span<Upstream* const> UpstreamDirectory::OfService(
    const std::string& service) const {
  const auto found = m_by_service.find(service);
  if (found == m_by_service.end()) {
    return {};
  }
  return found->second;
}

bool UpstreamDirectory::IsUsable(const Upstream& upstream,
                                 MonotonicTime now) const {
  if (upstream.entry.draining || upstream.notice.leaving) {
    return false;
  }
  return !upstream.removed_until || now < *upstream.removed_until;
}

std::optional<UpstreamDirectory::PublishedWeights>
UpstreamDirectory::NewestPublished(const std::string& model) const {
  const auto found = m_published.find(model);
  return found == m_published.end() ? std::nullopt
                                    : std::optional(found->second.back());
}

std::uint64_t UpstreamDirectory::NewestInUse(const std::string& model,
                                             const std::string& service) const {
  std::uint64_t newest = 0;
  for (const Upstream* upstream : OfService(service)) {
    newest = std::max(newest, upstream->WeightVersion(model));
  }
  return newest;
}

std::uint64_t UpstreamDirectory::MinVersion(const std::string& model,
                                            const std::string& service,
                                            MonotonicTime now,
                                            const Options& options) const {
  const auto found = m_published.find(model);
  if (found == m_published.end()) {
    return 0;
  }
  std::optional<std::uint64_t> newest_in_use;
  const auto is_required = [&](const PublishedWeights& published) {
    const Duration age = now - published.published_by;
    if (age >= options.version_hard_limit) {
      return true;
    }
    if (published.publish_time_known) {
      return false;
    }
    if (age >= options.found_version_limit) {
      return true;
    }
    // Its limit may have passed before this daemon started.
    if (!newest_in_use) {
      newest_in_use = NewestInUse(model, service);
    }
    return published.version <= *newest_in_use;
  };
  const std::vector<PublishedWeights>& versions = found->second;
  const auto newest =
      std::find_if(versions.rbegin(), versions.rend(), is_required);
  return newest == versions.rend() ? 0 : newest->version;
}

std::uint64_t UpstreamDirectory::FavoredVersion(const std::string& model,
                                                MonotonicTime now,
                                                const Options& options) const {
  const auto found = m_published.find(model);
  if (found == m_published.end()) {
    return 0;
  }
  const std::vector<PublishedWeights>& versions = found->second;
  const auto newest = std::find_if(versions.rbegin(), versions.rend(),
                                   [&](const PublishedWeights& published) {
                                     return now - published.published_by >=
                                            options.version_soft_limit;
                                   });
  return newest == versions.rend() ? 0 : newest->version;
}

std::vector<PublicationAge> UpstreamDirectory::PublicationAges(
    MonotonicTime now,
    Duration required_age,
    Duration max_newest_age) const {
  std::vector<PublicationAge> ages;
  for (const auto& [model, versions] : m_published) {
    if (now - versions.back().published_by >= max_newest_age) {
      continue;
    }
    auto published = versions.rbegin();
    do {
      ages.push_back({model, published->version, now - published->published_by,
                      published->publish_time_known});
    } while (ages.back().age < required_age && ++published != versions.rend());
  }
  return ages;
}

}  // namespace jasminehatch::forwarding
