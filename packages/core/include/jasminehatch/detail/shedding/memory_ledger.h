#ifndef JASMINEHATCH_DETAIL_SHEDDING_MEMORY_LEDGER_H_
#define JASMINEHATCH_DETAIL_SHEDDING_MEMORY_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/shedding/options.h"

namespace jasminehatch::shedding {

/// Identifies a connection; greater for a later one.
using ConnectionId = std::uint64_t;

/// @brief What a connection does, which decides whether it can be dropped.
enum class Activity {
  kIdle,     ///< Waits for a request.
  kReading,  ///< Receives a request; a refusal is true, as it has not run.
  kRunning,  ///< Its request was handed over; the response is not known yet.
  kUnread,   ///< Parts of a response wait for the caller to read them.
  kEnding,   ///< Was refused and is about to be closed.
};

/// @brief Result of a request for memory.
struct Decision {
  bool granted = true;
  /// Connections to drop, in this order. Their memory is taken off already, and
  /// only the connections' own remains; they count as ending.
  std::vector<ConnectionId> dropped;
};

/// @brief Memory that callers hold together, and the rule that decides who is
/// refused or dropped when it reaches the limit.
///
/// Large bodies share `Options::LargeLimit`; the rest is a reserve. Room is
/// made in this order: large holders without progress, newest first; then,
/// unless a large body asks, other large holders, newest first, connections
/// that have been idle for longest, and small bodies without progress, newest
/// first. Running requests are never dropped. If that does not suffice, nobody
/// is dropped and the request for memory is denied.
class MemoryLedger {
 public:
  explicit MemoryLedger(const Options& options) : m_options(options) {}

  void SetOptions(const Options& options) { m_options = options; }
  const Options& CurrentOptions() const { return m_options; }

  /// Adds an idle connection, unless denied.
  Decision Open(ConnectionId id, MonotonicTime now);

  /// Removes a connection; unknown ids are ignored.
  void Close(ConnectionId id);

  /// Sets what a connection does and the memory that it holds, apart from
  /// `kConnectionBytes`. Less memory is always granted. Denied, the connection
  /// keeps what it had.
  Decision Update(ConnectionId id,
                  Activity activity,
                  std::size_t bytes,
                  MonotonicTime now);

  /// Records progress of a body, or of a response that is being read.
  void AddProgress(ConnectionId id, std::size_t bytes, MonotonicTime now);

  /// Time of the last progress, or of the start of the current activity.
  MonotonicTime ProgressAt(ConnectionId id) const;

  /// Adds the memory of a request that was handed over, which stays until it
  /// is removed even if its connection closes. It was granted before, as memory
  /// of a connection.
  void AddRunning(std::size_t bytes);
  void RemoveRunning(std::size_t bytes);

  std::size_t TotalBytes() const { return m_total; }
  /// @return the memory of large bodies, in bytes
  std::size_t LargeBodyBytes() const { return m_large_bodies; }
  std::size_t Connections() const { return m_holders.size(); }

 private:
  struct Holder {
    Activity activity = Activity::kIdle;
    std::size_t bytes = 0;
    std::uint64_t order = 0;  ///< Of the start of the activity.
    MonotonicTime progress_at{};
    std::size_t unmarked_progress = 0;  ///< Since `progress_at`, in bytes.
  };
  using Holders = std::unordered_map<ConnectionId, Holder>;
  /// Connections by the start of their activity.
  using Queue = std::map<std::uint64_t, ConnectionId>;

  static bool IsLarge(const Holder& holder) {
    return holder.bytes >= kLargeBytes;
  }
  static bool IsLargeBody(Activity activity, std::size_t bytes) {
    return activity == Activity::kReading && bytes >= kLargeBytes;
  }
  /// @return the queue of those that can be dropped for the same reason; null
  /// for a holder that cannot be dropped
  Queue* QueueOf(const Holder& holder);
  void Enqueue(ConnectionId id, const Holder& holder);
  void Dequeue(const Holder& holder);
  void SetHolding(ConnectionId id,
                  Holder& holder,
                  Activity activity,
                  std::size_t bytes,
                  MonotonicTime now);
  bool Fits(std::size_t more, std::size_t more_large) const;
  /// Chooses whom to drop until `more` bytes fit.
  /// @param more_large how many of the bytes are of large bodies
  /// @return whether that suffices; `victims` are the ones to drop then
  bool ChooseVictims(ConnectionId asker,
                     std::size_t more,
                     std::size_t more_large,
                     MonotonicTime now,
                     std::vector<ConnectionId>& victims) const;
  Decision MakeRoom(ConnectionId asker,
                    std::size_t more,
                    std::size_t more_large,
                    MonotonicTime now);

  Options m_options;
  Holders m_holders;
  Queue m_idle;
  Queue m_small;  ///< Small bodies that are being read.
  Queue m_large;  ///< Large bodies that are being read, and unread responses.
  std::uint64_t m_next_order = 1;
  std::size_t m_total = 0;
  std::size_t m_large_bodies = 0;
};

}  // namespace jasminehatch::shedding

#endif  // JASMINEHATCH_DETAIL_SHEDDING_MEMORY_LEDGER_H_
