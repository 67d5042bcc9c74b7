#ifndef JASMINEHATCH_DETAIL_BLOCKS_OPTIONS_H_
#define JASMINEHATCH_DETAIL_BLOCKS_OPTIONS_H_

#include <chrono>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::blocks {

/// @brief Settings of the blocks reducer.
struct Options {
  Duration write_timeout =
      std::chrono::seconds(60);  ///< Time to wait for the reply to a write;
                                 ///< also the interval of listings and the age
                                 ///< at which orphans are freed.
  Duration grant_duration =
      std::chrono::seconds(15);  ///< Time for which granted
                                 ///< blocks may be read.
  Duration clock_margin =
      std::chrono::seconds(1);  ///< Added to the end of a grant before a free.
  Duration max_order_delay =
      std::chrono::seconds(5);  ///< Longest delay of an order to a store:
                                ///< `WriteBlock`, `FreeBlock` or `ListStore`.
  Duration pause_threshold = std::chrono::seconds(
      2);  ///< A longer time without events means that the process was paused.
  Duration timer_interval = std::chrono::seconds(1);
  Duration max_export_wait = std::chrono::seconds(
      30);  ///< Longest wait of an export for an idle link; then it starts on a
            ///< busy one, since the accelerator may soon evict the block.
  double idle_busy_seconds =
      0.5;  ///< A link with less queued work than this counts as idle.
  Duration max_gap =
      std::chrono::hours(72);  ///< Contexts whose next use is expected after
                               ///< more than this are not kept.
  Duration default_gap =
      std::chrono::hours(4);  ///< Expected gap of a context without history.
  double gap_weight = 0.3;    ///< Weight of the last gap in the moving average.
};

}  // namespace jasminehatch::blocks

#endif  // JASMINEHATCH_DETAIL_BLOCKS_OPTIONS_H_
