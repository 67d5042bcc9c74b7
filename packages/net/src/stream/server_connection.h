#ifndef JASMINEHATCH_STREAM_SERVER_CONNECTION_H_
#define JASMINEHATCH_STREAM_SERVER_CONNECTION_H_

#include <array>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "jasminehatch/detail/stream/server_exchange.h"
#include "jasminehatch/detail/stream/stream_server.h"
#include "message_parser.h"

namespace jasminehatch::net {

/// @brief State that the connections of a server share.
struct SharedServerState {
  StreamServer::Handler handler;
  CallerLimits limits;
  bool close_after_responses = false;
};

/// @brief One caller connection: reads requests one after another and writes
/// their responses.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  using Time = std::chrono::steady_clock::time_point;

  ServerConnection(asio::ip::tcp::socket socket,
                   std::shared_ptr<const SharedServerState> shared);
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  void Start();

  /// Closes the connection if a time limit has passed.
  void CheckTimeouts(Time now);

  /// Closes the connection, once a request that was already received and a
  /// response that is being written are done.
  void CloseWhenIdle();

  /// @return whether a request is being read or is in progress, a response is
  /// being written, or `CloseWhenIdle` has not taken effect yet
  bool IsBusy(Time now) const;
  bool IsOpen() const { return m_socket.is_open(); }

  // Called by the exchange in progress; calls with the sequence number of an
  // earlier exchange are ignored.
  void Send(std::size_t sequence,
            int status,
            const HttpHeaders& headers,
            std::string_view body);
  void BeginStream(std::size_t sequence,
                   int status,
                   const HttpHeaders& headers);
  void Write(std::size_t sequence, std::string_view data);
  void End(std::size_t sequence);
  void Abort(std::size_t sequence);
  void SetClosedCallback(std::size_t sequence, std::function<void()> callback);
  /// @return the size of what the caller has yet to read
  std::size_t UnsentBytes() const {
    return m_socket.is_open() ? m_output.size() + m_writing.size() : 0;
  }

  /// Closes the connection and discards what was not sent.
  void Drop() { CloseNow(); }

 private:
  enum class Phase {
    kReading,     ///< Waits for a request, or reads one.
    kResponding,  ///< A request was handed to the handler.
    kClosing,     ///< The last response is written; input is discarded.
  };

  bool IsCurrent(std::size_t sequence) const {
    return m_phase == Phase::kResponding && sequence == m_sequence &&
           m_socket.is_open();
  }
  /// @return whether no byte of a request was received and no response is
  /// being written
  bool IsIdle() const;
  /// @return whether the connection is closed after the response in progress. A
  /// stopping server first answers the requests that were received with it.
  bool ClosesAfterResponse() const;
  void Read();
  void OnRead(const asio::error_code& error, std::size_t length);
  void ParseInput();
  void OnHead();
  void DispatchRequest();
  void Reject(int status);
  /// Decides whether the connection is closed after the response.
  std::string FormatHead(int status, const HttpHeaders& headers);
  void Flush();
  void FinishResponse();
  /// Frees the memory of what was sent.
  void ReleaseWritten();
  void BeginClosing();
  void CloseNow();
  void NotifyClosed();

  asio::ip::tcp::socket m_socket;
  std::shared_ptr<const SharedServerState> m_shared;
  MessageParser m_parser{HTTP_REQUEST};
  std::array<char, 16384> m_buffer{};
  std::string m_input;  ///< Received and not yet parsed.
  std::string m_body;
  std::string m_output;
  std::string m_writing;
  std::function<void()> m_on_closed;
  std::size_t m_sequence = 0;
  Phase m_phase = Phase::kReading;
  Time m_timed_since{};  ///< Start of the period that `CheckTimeouts` limits.
  /// Status with which the current request is rejected before it is dispatched;
  /// 0 for none.
  int m_reject_status = 0;
  bool m_read_pending = false;
  bool m_write_pending = false;
  bool m_keep_alive = true;
  bool m_is_head_request = false;
  bool m_close_announced = false;  ///< In the head of the response.
  bool m_first_byte_seen = false;
  bool m_close_when_idle = false;
};

}  // namespace jasminehatch::net

#endif  // JASMINEHATCH_STREAM_SERVER_CONNECTION_H_
