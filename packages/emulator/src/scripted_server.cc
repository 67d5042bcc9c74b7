#include "jasminehatch/detail/emulator/scripted_server.h"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
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

/// @return the size of the head of the first request, or 0 if it is not
/// complete
std::size_t FirstHeadSize(std::string_view received) {
  const std::size_t end = received.find(kHeadEnd);
  return end == std::string_view::npos ? 0 : end + kHeadEnd.size();
}

/// @return the size of the first request with its body, or 0 if it is not
/// complete
std::size_t FirstRequestSize(std::string_view received) {
  const std::size_t head = FirstHeadSize(received);
  if (head == 0) {
    return 0;
  }
  const std::string_view length =
      FindHeaderValue(received.substr(0, head), "Content-Length");
  std::size_t body = 0;
  std::from_chars(length.data(), length.data() + length.size(), body);
  return received.size() < head + body ? 0 : head + body;
}

}  // namespace

struct ScriptedServer::Connection {
  Connection(tcp::socket accepted, std::size_t position)
      : socket(std::move(accepted)),
        answer_timer(socket.get_executor()),
        index(position) {}

  tcp::socket socket;
  asio::steady_timer answer_timer;
  std::size_t index;
  std::size_t request_count = 0;
  bool discards = false;  ///< What is received is no request.
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
        if (!connection->discards) {
          connection->received.append(connection->buffer.data(), length);
          if (m_early_answer_delay &&
              FirstHeadSize(connection->received) != 0) {
            AnswerLater(connection);
            return;
          }
          AnswerWholeRequests(*connection);
        }
        if (connection->socket.is_open()) {
          Read(connection);
        }
      });
}

void ScriptedServer::AnswerWholeRequests(Connection& connection) {
  while (connection.socket.is_open() && !connection.discards) {
    const std::size_t size = FirstRequestSize(connection.received);
    if (size == 0) {
      return;
    }
    Answer(connection, size);
  }
}

void ScriptedServer::AnswerLater(
    const std::shared_ptr<Connection>& connection) {
  connection->answer_timer.expires_after(*m_early_answer_delay);
  connection->answer_timer.async_wait(
      [this, connection,
       alive = std::weak_ptr<int>(m_alive)](const asio::error_code& error) {
        if (error || alive.expired()) {
          return;
        }
        Answer(*connection, FirstHeadSize(connection->received));
        connection->discards = true;
        if (connection->socket.is_open()) {
          Read(connection);
        }
      });
}

void ScriptedServer::Answer(Connection& connection, std::size_t size) {
  ++m_request_count;
  const Reply reply =
      m_script({std::string_view(connection.received).substr(0, size),
                connection.index, connection.request_count++});
  connection.received.erase(0, size);
  asio::error_code ignored;
  asio::write(connection.socket, asio::buffer(reply.bytes), ignored);
  const bool finishes =
      reply.after == After::kFinish || reply.after == After::kFinishReset;
  if (finishes) {
    connection.socket.shutdown(tcp::socket::shutdown_send, ignored);
    connection.discards = true;
  }
  if (reply.after == After::kReset || reply.after == After::kFinishReset) {
    connection.socket.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  if (reply.after != After::kKeep && reply.after != After::kFinish) {
    connection.socket.close(ignored);
  }
}

}  // namespace jasminehatch::emulator
