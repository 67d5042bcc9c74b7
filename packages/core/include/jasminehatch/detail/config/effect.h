#ifndef JASMINEHATCH_DETAIL_CONFIG_EFFECT_H_
#define JASMINEHATCH_DETAIL_CONFIG_EFFECT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "jasminehatch/detail/base/counter.h"
#include "jasminehatch/detail/config/record.h"

namespace jasminehatch::config {

/// Validates the entries of the state's fold and puts them into force as a
/// whole. They are not copied, since 23,000 workspaces take several megabytes;
/// the effect is executed before the next event.
struct ApplyConfiguration {
  Version version = 0;
};

/// Requests the records from offset `from` on from a peer; 0 requests the whole
/// state.
struct FetchFromPeer {
  std::string peer;
  Version from = 1;
};

/// Appends one part of a snapshot to the configuration stream.
struct AppendPart {
  SnapshotPart part;
};

/// Probes every peer of the zone; forwarded to the membership reducer.
struct SurveyPeers {
  std::uint64_t survey = 0;  ///< Number of the survey.
};

/// Reports that the configuration became stale or fresh.
struct StaleChanged {
  bool stale = false;
};

using Effect = std::variant<ApplyConfiguration,
                            FetchFromPeer,
                            AppendPart,
                            SurveyPeers,
                            StaleChanged,
                            CountEvent>;

using Effects = std::vector<Effect>;

}  // namespace jasminehatch::config

#endif  // JASMINEHATCH_DETAIL_CONFIG_EFFECT_H_
