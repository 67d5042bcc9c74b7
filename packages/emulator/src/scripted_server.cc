#include "jasminehatch/detail/emulator/scripted_server.h"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <cctype>
#include <charconv>
#include <utility>

namespace jasminehatch::emulator {
namespace {

using asio::ip::tcp;

constexpr std::string_view kHeadEnd = "\r\n\r\n";

std::string_view FindHeaderValue(std::string_view text, std::string_view name) {
  const std::string start = "\r\n" + std::string(name) + ": ";
  const auto found =
      std::search(text.begin(), text.end(), start.begin(), start.end(),
                  [](unsigned char a, unsigned char b) {
                    return std::tolower(a) == std::tolower(b);
                  });
  if (found == text.end()) {
    return {};
  }
  text.remove_prefix(static_cast<std::size_t>(found - text.begin()) +
                     start.size());
  return text.substr(0, text.find('\r'));
}

/// @return the size of the first request with its body, or 0 if it is not
/// complete
std::size_t FirstRequestSize(std::string_view received) {
  const std::size_t end = received.find(kHeadEnd);
  if (end == std::string_view::npos) {
    return 0;
  }
  const std::size_t head = end + kHeadEnd.size();
  const std::string_view length =
      FindHeaderValue(received.substr(0, head), "Content-Length");
  std::size_t body = 0;
  std::from_chars(length.data(), length.data() + length.size(), body);
  return received.size() < head + body ? 0 : head + body;
}

}  // namespace

struct ScriptedServer::Connection {
  Connection(tcp::socket accepted, std::size_t position)
      : socket(std::move(accepted)), index(position) {}

  tcp::socket socket;
  std::size_t index;
  std::size_t request_count = 0;
  std::string received;
  std::array<char, 16384> buffer{};
};

std::string_view ScriptedServer::Request::Header(std::string_view name) const {
  return FindHeaderValue(text, name);
}

ScriptedServer::ScriptedServer(asio::io_context& loop, Script script)
    : m_acceptor(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      m_script(std::move(script)) {
  Accept();
}

ScriptedServer::~ScriptedServer() {
  for (const auto& connection : m_connections) {
    asio::error_code ignored;
    connection->socket.close(ignored);
  }
}

std::string ScriptedServer::Address() const {
  return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
}

void ScriptedServer::SendUnasked(std::string_view bytes) {
  for (const auto& connection : m_connections) {
    asio::error_code ignored;
    asio::write(connection->socket, asio::buffer(bytes.data(), bytes.size()),
                ignored);
  }
}

void ScriptedServer::Accept() {
  m_acceptor.async_accept(
      [this](const asio::error_code& error, tcp::socket accepted) {
        if (error) {
          return;
        }
        asio::error_code ignored;
        accepted.set_option(tcp::no_delay(true), ignored);
        m_connections.push_back(std::make_shared<Connection>(
            std::move(accepted), m_connections.size()));
        Read(m_connections.back());
        Accept();
      });
}

void ScriptedServer::Read(const std::shared_ptr<Connection>& connection) {
  connection->socket.async_read_some(
      asio::buffer(connection->buffer),
      [this, connection, alive = std::weak_ptr<int>(m_alive)](
          const asio::error_code& error, std::size_t length) {
        if (error || alive.expired()) {
          asio::error_code ignored;
          connection->socket.close(ignored);
          return;
        }
        connection->received.append(connection->buffer.data(), length);
        Answer(*connection);
        if (connection->socket.is_open()) {
          Read(connection);
        }
      });
}

void ScriptedServer::Answer(Connection& connection) {
  while (connection.socket.is_open()) {
    const std::size_t size = FirstRequestSize(connection.received);
    if (size == 0) {
      return;
    }
    ++m_request_count;
    const Reply reply =
        m_script({std::string_view(connection.received).substr(0, size),
                  connection.index, connection.request_count++});
    connection.received.erase(0, size);
    asio::error_code ignored;
    asio::write(connection.socket, asio::buffer(reply.bytes), ignored);
    if (reply.after == After::kReset) {
      connection.socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    if (reply.after != After::kKeep) {
      connection.socket.close(ignored);
    }
  }
}

}  // namespace jasminehatch::emulator
