#ifndef JASMINEHATCH_DETAIL_RELAY_CHANGE_LOG_H_
#define JASMINEHATCH_DETAIL_RELAY_CHANGE_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

#include "jasminehatch/detail/forwarding/cache_event.h"

namespace jasminehatch::relay {

/// @brief The latest changes of a cache store, for daemons that know its
/// content at an earlier position.
class ChangeLog {
 public:
  /// @brief Changes after a position.
  struct Delta {
    std::vector<forwarding::CacheChange> changes;  ///< In order.
    std::uint64_t position = 0;  ///< The changes are complete up to here.
    bool more = false;           ///< Further changes follow at `position`.
  };

  /// Starts at a position of the store's current start.
  void Restart(std::uint64_t epoch, std::uint64_t position);

  /// Adds the changes from the previous position to `position`.
  void Add(std::uint64_t position,
           std::span<const forwarding::CacheChange> changes);

  std::uint64_t Epoch() const { return m_epoch; }
  std::uint64_t Position() const { return m_position; }

  /// @brief Finds the changes after a position.
  ///
  /// A page that begins before the position is included whole. This is safe
  /// because all later changes follow: the last change of a part decides.
  /// @param max_changes number of changes after which no further page is
  /// included
  /// @return nothing if the store has restarted since or the changes are not
  /// known any more
  std::optional<Delta> Since(std::uint64_t epoch,
                             std::uint64_t position,
                             std::size_t max_changes) const;

 private:
  struct Page {
    std::uint64_t position = 0;  ///< After its changes.
    std::vector<forwarding::CacheChange> changes;
  };

  std::uint64_t m_epoch = 0;
  std::uint64_t m_first = 0;  ///< Position before the oldest page.
  std::uint64_t m_position = 0;
  std::size_t m_changes = 0;  ///< In all pages.
  std::deque<Page> m_pages;
};

}  // namespace jasminehatch::relay

#endif  // JASMINEHATCH_DETAIL_RELAY_CHANGE_LOG_H_
