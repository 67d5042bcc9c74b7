#ifndef JASMINEHATCH_STREAM_CONNECTION_EXCHANGE_H_
#define JASMINEHATCH_STREAM_CONNECTION_EXCHANGE_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include "jasminehatch/detail/http/http_message.h"
#include "jasminehatch/detail/stream/server_exchange.h"
#include "shared_server_state.h"

namespace jasminehatch::net {

/// @brief The exchange that a connection passes to a handler.
class ConnectionExchange : public ServerExchange {
 public:
  /// @param memory_bytes memory of the request
  ConnectionExchange(std::weak_ptr<ServerConnection> connection,
                     std::size_t sequence,
                     HttpRequest request,
                     std::shared_ptr<SharedServerState> shared,
                     std::size_t memory_bytes);

  const HttpRequest& Request() const override { return m_request; }
  void Send(int status,
            const HttpHeaders& headers,
            std::string_view body) override;
  void BeginStream(int status, const HttpHeaders& headers) override;
  void Write(std::string_view data) override;
  void End() override;
  void Abort() override;
  std::size_t UnsentBytes() const override;
  void SetClosedCallback(std::function<void()> callback) override;

 private:
  std::weak_ptr<ServerConnection> m_connection;
  std::size_t m_sequence;
  RequestMemory m_memory;
  HttpRequest m_request;
};

}  // namespace jasminehatch::net

#endif  // JASMINEHATCH_STREAM_CONNECTION_EXCHANGE_H_
