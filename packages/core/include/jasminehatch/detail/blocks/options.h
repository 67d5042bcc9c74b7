#ifndef JASMINEHATCH_DETAIL_BLOCKS_OPTIONS_H_
#define JASMINEHATCH_DETAIL_BLOCKS_OPTIONS_H_

#include <chrono>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::blocks {

/// @brief Settings of the blocks reducer.
struct Options {
  Duration write_limit =
      std::chrono::seconds(60);  ///< Time to wait for the reply to a write.
  Duration grant_limit = std::chrono::seconds(15);  ///< Longest read.
  Duration clock_margin =
      std::chrono::seconds(1);  ///< Added to the end of a grant before a free.
  Duration order_delay =
      std::chrono::seconds(5);  ///< Longest delay of an order to a store.
  Duration pause_limit = std::chrono::seconds(
      2);  ///< A longer time without events means that the process was paused.
  Duration timer_interval = std::chrono::seconds(1);
  Duration export_patience = std::chrono::seconds(
      30);  ///< Longest wait of an export for an idle link; after it, the
            ///< accelerator may soon evict the block from its memory.
  double quiet_busy_seconds =
      0.5;  ///< A link with less queued work than this counts as idle.
  Duration longest_gap = std::chrono::hours(
      72);  ///< Contexts that are expected to be reused later are dropped.
  Duration first_gap =
      std::chrono::hours(4);  ///< Expected gap of a context without history.
  double gap_weight = 0.3;    ///< Weight of the last gap in the moving average.
};

}  // namespace jasminehatch::blocks

#endif  // JASMINEHATCH_DETAIL_BLOCKS_OPTIONS_H_
