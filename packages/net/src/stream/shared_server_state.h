#ifndef JASMINEHATCH_STREAM_SHARED_SERVER_STATE_H_
#define JASMINEHATCH_STREAM_SHARED_SERVER_STATE_H_

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <unordered_map>

#include "jasminehatch/detail/shedding/caller_refusal.h"
#include "jasminehatch/detail/shedding/memory_ledger.h"
#include "jasminehatch/detail/stream/stream_server.h"

namespace jasminehatch::net {

class ServerConnection;

/// @brief State that the connections of a server share.
struct SharedServerState {
  StreamServer::Handler handler;
  std::function<void(shedding::CallerRefusal)> on_refusal;
  CallerLimits limits;
  shedding::MemoryLedger memory{shedding::Options{}};
  std::unordered_map<shedding::ConnectionId, std::weak_ptr<ServerConnection>>
      connections;
  shedding::ConnectionId next_connection = 1;
  /// Receives the bytes of whichever connection reads; none keeps any there.
  std::array<char, 16384> buffer{};
  bool close_after_responses = false;

  /// Counts and logs a refusal.
  void Report(shedding::CallerRefusal reason) const {
    if (on_refusal) {
      on_refusal(reason);
    }
  }

  /// Refuses the requests of these connections, or closes them.
  void Drop(std::span<const shedding::ConnectionId> ids) const;
};

/// @brief Memory of a request that was handed over, until it is destroyed.
class RequestMemory {
 public:
  RequestMemory(std::shared_ptr<SharedServerState> shared, std::size_t bytes)
      : m_shared(std::move(shared)), m_bytes(bytes) {
    m_shared->memory.AddRunning(m_bytes);
  }
  ~RequestMemory() { m_shared->memory.RemoveRunning(m_bytes); }
  RequestMemory(const RequestMemory&) = delete;
  RequestMemory& operator=(const RequestMemory&) = delete;

 private:
  std::shared_ptr<SharedServerState> m_shared;
  std::size_t m_bytes;
};

}  // namespace jasminehatch::net

#endif  // JASMINEHATCH_STREAM_SHARED_SERVER_STATE_H_
