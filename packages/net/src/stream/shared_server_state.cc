#include "shared_server_state.h"

#include "server_connection.h"

namespace jasminehatch::net {

void SharedServerState::Drop(
    std::span<const shedding::ConnectionId> ids) const {
  for (const shedding::ConnectionId id : ids) {
    const auto found = connections.find(id);
    if (found == connections.end()) {
      continue;
    }
    if (const auto connection = found->second.lock()) {
      connection->Shed();
    }
  }
}

}  // namespace jasminehatch::net
