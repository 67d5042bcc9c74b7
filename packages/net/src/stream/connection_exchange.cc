#include "connection_exchange.h"

#include <utility>

#include "server_connection.h"

namespace jasminehatch::net {

ConnectionExchange::ConnectionExchange(
    std::weak_ptr<ServerConnection> connection,
    std::size_t sequence,
    HttpRequest request,
    std::shared_ptr<SharedServerState> shared,
    std::size_t memory_bytes)
    : m_connection(std::move(connection)),
      m_sequence(sequence),
      m_memory(std::move(shared), memory_bytes),
      m_request(std::move(request)) {}

void ConnectionExchange::Send(int status,
                              const HttpHeaders& headers,
                              std::string_view body) {
  if (const auto connection = m_connection.lock()) {
    connection->Send(m_sequence, status, headers, body);
  }
}

void ConnectionExchange::BeginStream(int status, const HttpHeaders& headers) {
  if (const auto connection = m_connection.lock()) {
    connection->BeginStream(m_sequence, status, headers);
  }
}

void ConnectionExchange::Write(std::string_view data) {
  if (const auto connection = m_connection.lock()) {
    connection->Write(m_sequence, data);
  }
}

void ConnectionExchange::End() {
  if (const auto connection = m_connection.lock()) {
    connection->End(m_sequence);
  }
}

void ConnectionExchange::Abort() {
  if (const auto connection = m_connection.lock()) {
    connection->Abort(m_sequence);
  }
}

std::size_t ConnectionExchange::UnsentBytes() const {
  const auto connection = m_connection.lock();
  return connection ? connection->UnsentBytes() : 0;
}

void ConnectionExchange::SetClosedCallback(std::function<void()> callback) {
  if (const auto connection = m_connection.lock()) {
    connection->SetClosedCallback(m_sequence, std::move(callback));
  }
}

}  // namespace jasminehatch::net
