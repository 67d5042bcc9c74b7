#include "jasminehatch/detail/serving/model_group.h"

#include "jasminehatch/detail/serving/request.h"

namespace jasminehatch::serving {
namespace {

/// Number of version groups of a model above which those without waiting
/// requests are erased.
constexpr std::size_t kMaxVersions = 16;

}  // namespace

VersionGroup& ModelGroup::GroupOf(const Request& request) {
  const auto [entry, added] = versions.try_emplace(request.group);
  if (added) {
    entry->second.version = request.arrival.weight_version;
    entry->second.regions = request.regions;
  }
  return entry->second;
}

void ModelGroup::EraseIdleVersions() {
  if (versions.size() > kMaxVersions) {
    std::erase_if(versions, [](const auto& entry) {
      return entry.second.Waiting() == 0;
    });
  }
}

}  // namespace jasminehatch::serving
