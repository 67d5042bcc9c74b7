#ifndef JASMINEHATCH_DETAIL_EMULATOR_SCRIPTED_SERVER_H_
#define JASMINEHATCH_DETAIL_EMULATOR_SCRIPTED_SERVER_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminehatch::emulator {

/// @brief A server that answers each request with given bytes, which need not
/// be a response, and then keeps, closes or resets the connection.
class ScriptedServer {
 public:
  /// @brief What happens to the connection after the bytes.
  enum class After {
    kKeep,
    kClose,
    kReset,
    kFinish,       ///< No further bytes are sent; received ones are discarded.
    kFinishReset,  ///< No further bytes are sent, then it is reset.
  };

  struct Request {
    std::string_view text;  ///< Head and body; the head alone of an upload that
                            ///< is answered early.
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

  /// Answers each request without reading its body, some time after the end of
  /// its head, so that the sender of a long body waits for room in the buffers
  /// of its socket. Discards what arrives on a connection after that.
  void AnswerUploadsEarly(std::chrono::milliseconds delay) {
    m_early_answer_delay = delay;
  }

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
  void AnswerWholeRequests(Connection& connection);
  /// Answers a request whose head was received, after the delay.
  void AnswerLater(const std::shared_ptr<Connection>& connection);
  /// Answers the request at the start of the received bytes.
  void Answer(Connection& connection, std::size_t size);

  asio::ip::tcp::acceptor m_acceptor;
  Script m_script;
  std::optional<std::chrono::milliseconds> m_early_answer_delay;
  std::vector<std::shared_ptr<Connection>> m_connections;
  std::size_t m_request_count = 0;
  /// Handlers of open connections hold weak pointers to it.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace jasminehatch::emulator

#endif  // JASMINEHATCH_DETAIL_EMULATOR_SCRIPTED_SERVER_H_
