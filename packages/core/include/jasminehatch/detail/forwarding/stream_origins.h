#ifndef JASMINEHATCH_DETAIL_FORWARDING_STREAM_ORIGINS_H_
#define JASMINEHATCH_DETAIL_FORWARDING_STREAM_ORIGINS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/forwarding/stream_origin.h"

namespace jasminehatch::forwarding {

/// Time after its first event within which a stream may be resumed.
inline constexpr std::chrono::seconds kMaxResumeTime{60};

/// @brief The origins of recent streams, those of this daemon and of its peers.
class StreamOrigins {
 public:
  /// The oldest origins beyond this number are dropped.
  static constexpr std::size_t kMaxOrigins = 32768;

  /// Records a stream whose first event was sent by this daemon.
  void RecordOwn(const StreamOrigin& origin, MonotonicTime now) {
    Record(origin, true, now);
  }

  /// Records a stream of another daemon.
  void RecordOfPeer(const StreamOrigin& origin, MonotonicTime now) {
    Record(origin, false, now);
  }

  /// @return the origin of the stream, or null
  const StreamOrigin* Find(std::uint64_t stream) const;

  /// Decides what other daemons have to learn of a stream that this daemon has
  /// just recorded. Origins matter to them while a service runs several
  /// software versions.
  /// @param several_versions whether the stream's service does
  /// @return nothing, the origin, or all recent ones of the service if they had
  /// not been shared before
  std::vector<StreamOrigin> TakeToShare(const StreamOrigin& origin,
                                        bool several_versions);

 private:
  struct Entry {
    StreamOrigin origin;
    bool is_own = false;
  };

  void Record(const StreamOrigin& origin, bool is_own, MonotonicTime now);

  std::unordered_map<std::uint64_t, Entry> m_entries;  ///< By stream.
  std::deque<std::pair<MonotonicTime, std::uint64_t>> m_oldest_first;
  std::set<std::string> m_shared_services;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_STREAM_ORIGINS_H_
