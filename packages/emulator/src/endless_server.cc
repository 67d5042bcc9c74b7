#include "jasminehatch/detail/emulator/endless_server.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <utility>

namespace jasminehatch::emulator {

using asio::ip::tcp;

EndlessServer::EndlessServer(asio::io_context& loop,
                             const EndlessBytes& bytes,
                             Options options)
    : m_acceptor(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      m_bytes(bytes),
      m_options(std::move(options)) {
  Accept();
}

EndlessServer::EndlessServer(asio::io_context& loop, const EndlessBytes& bytes)
    : EndlessServer(loop, bytes, Options{}) {}

EndlessServer::~EndlessServer() {
  for (const auto& weak : m_sockets) {
    if (const auto socket = weak.lock()) {
      asio::error_code ignored;
      socket->close(ignored);
    }
  }
}

std::string EndlessServer::Address() const {
  return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
}

bool EndlessServer::AllClosed() const {
  return std::all_of(m_writers.begin(), m_writers.end(),
                     [](const auto& writer) { return writer->IsClosed(); });
}

void EndlessServer::Accept() {
  m_acceptor.async_accept(
      [this](const asio::error_code& error, tcp::socket accepted) {
        if (error) {
          return;
        }
        const auto socket = std::make_shared<tcp::socket>(std::move(accepted));
        m_sockets.push_back(socket);
        ReadHead(socket);
        Accept();
      });
}

void EndlessServer::ReadHead(const Socket& socket) {
  const auto received = std::make_shared<std::string>();
  asio::async_read_until(
      *socket, asio::dynamic_buffer(*received), "\r\n\r\n",
      [this, socket, received, alive = std::weak_ptr<int>(m_alive)](
          const asio::error_code& error, std::size_t) {
        if (error || alive.expired()) {
          return;
        }
        const std::string response = m_options.find_response
                                         ? m_options.find_response(*received)
                                         : std::string();
        if (!response.empty()) {
          asio::error_code ignored;
          asio::write(*socket, asio::buffer(response), ignored);
          return;
        }
        m_writers.push_back(std::make_shared<EndlessWriter>(
            socket, m_bytes, MakeStart(*received)));
        m_writers.back()->Start();
      });
}

std::string EndlessServer::MakeStart(std::string_view request) const {
  std::string start = m_bytes.start;
  if (m_options.make_headers && start.starts_with(kOkStatusLine)) {
    start.insert(std::string_view(kOkStatusLine).size(),
                 m_options.make_headers(request));
  }
  return start;
}

}  // namespace jasminehatch::emulator
