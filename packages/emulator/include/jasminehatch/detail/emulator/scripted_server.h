#ifndef JASMINEHATCH_DETAIL_EMULATOR_SCRIPTED_SERVER_H_
#define JASMINEHATCH_DETAIL_EMULATOR_SCRIPTED_SERVER_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace jasminehatch::emulator {

/// @brief A server that answers each request with given bytes, which need not
/// be a response, and then keeps, closes or resets the connection.
class ScriptedServer {
 public:
  /// @brief What happens to the connection after the bytes.
  enum class After { kKeep, kClose, kReset };

  struct Request {
    std::string_view text;          ///< Head and body.
    std::size_t connection = 0;     ///< Counts the connections, from 0.
    std::size_t on_connection = 0;  ///< Requests before it on the connection.

    /// @return the value of the first header with this name, or an empty view
    std::string_view Header(std::string_view name) const;
  };

  struct Reply {
    std::string bytes;
    After after = After::kKeep;
  };

  using Script = std::function<Reply(const Request& request)>;

  ScriptedServer(asio::io_context& loop, Script script);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  void SetScript(Script script) { m_script = std::move(script); }

  /// @return `ip:port` that it listens on
  std::string Address() const;

  /// Sends bytes that answer no request on each open connection.
  void SendUnasked(std::string_view bytes);

  std::size_t Connections() const { return m_connections.size(); }
  std::size_t Requests() const { return m_request_count; }

 private:
  struct Connection;

  void Accept();
  void Read(const std::shared_ptr<Connection>& connection);
  /// Answers the requests that were received completely.
  void Answer(Connection& connection);

  asio::ip::tcp::acceptor m_acceptor;
  Script m_script;
  std::vector<std::shared_ptr<Connection>> m_connections;
  std::size_t m_request_count = 0;
  /// Handlers of open connections hold weak pointers to it.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace jasminehatch::emulator

#endif  // JASMINEHATCH_DETAIL_EMULATOR_SCRIPTED_SERVER_H_
