#ifndef JASMINEHATCH_DETAIL_SHEDDING_OPTIONS_H_
#define JASMINEHATCH_DETAIL_SHEDDING_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <limits>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::shedding {

/// Share of the VM's memory that callers can take together. The rest is for the
/// daemon itself (25 MB under normal load), for buffered responses (20 MiB) and
/// for the one body that is being copied into a larger buffer.
inline constexpr std::size_t kMemoryShareDivisor = 3;

/// Size from which a body, or a response that its caller has not read, counts
/// as large, in bytes. Ordinary prompts are smaller: it is the text of about
/// 16,000 tokens.
inline constexpr std::size_t kLargeBytes = 64UL << 10U;

/// Share of the limit that large bodies cannot take, so that ordinary requests
/// find room while large bodies are held. With a VM of 88 MB it has room for
/// 110 requests of `kLargeBytes` each.
inline constexpr std::size_t kReserveDivisor = 4;

/// Bytes by which a body has to grow, or a response to be read, to count as
/// progress. Counting each byte would let a caller hold a large body by sending
/// one byte at a time.
inline constexpr std::size_t kProgressBytes = 16UL << 10U;

/// Time without progress after which a large holder is dropped first. A link of
/// 64 kbit/s sends `kProgressBytes` in 2 s.
inline constexpr std::chrono::milliseconds kStallTime{2000};

/// Memory of a connection without a request, in bytes: its object (568 bytes),
/// its entries in tables, the event loop's state, the kernel's socket and the
/// allocator's overhead. An estimate from above.
inline constexpr std::size_t kConnectionBytes = 4096;

/// Share of the file descriptors for the connections of callers. A request also
/// needs a connection to its upstream.
inline constexpr std::size_t kConnectionShareDivisor = 2;

/// @brief Limits of a `MemoryLedger`.
struct Options {
  /// Memory that all callers can take together, in bytes.
  std::size_t limit_bytes = std::numeric_limits<std::size_t>::max();
  std::size_t connection_limit = std::numeric_limits<std::size_t>::max();

  /// @param memory_bytes memory of the VM
  /// @param descriptors that the process can have open
  static constexpr Options For(std::size_t memory_bytes,
                               std::size_t descriptors) {
    return {memory_bytes / kMemoryShareDivisor,
            descriptors / kConnectionShareDivisor};
  }

  /// @return the part of the limit that large bodies can take
  std::size_t LargeLimit() const {
    return limit_bytes - limit_bytes / kReserveDivisor;
  }
};

}  // namespace jasminehatch::shedding

#endif  // JASMINEHATCH_DETAIL_SHEDDING_OPTIONS_H_
