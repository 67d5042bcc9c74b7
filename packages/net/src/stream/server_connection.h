#ifndef JASMINEHATCH_STREAM_SERVER_CONNECTION_H_
#define JASMINEHATCH_STREAM_SERVER_CONNECTION_H_

#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "jasminehatch/detail/http/http_message.h"
#include "jasminehatch/detail/shedding/caller_refusal.h"
#include "jasminehatch/detail/shedding/memory_ledger.h"
#include "output_writer.h"
#include "request_reader.h"

namespace jasminehatch::net {

struct SharedServerState;

/// @brief One caller connection: reads requests one after another and writes
/// their responses.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  using Time = std::chrono::steady_clock::time_point;
  using Refusal = shedding::CallerRefusal;

  /// @param id under which the connection was added to the memory ledger
  ServerConnection(asio::ip::tcp::socket socket,
                   std::shared_ptr<SharedServerState> shared,
                   shedding::ConnectionId id);
  ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  void Start();

  /// Closes the connection if a time limit has passed.
  void CheckTimeouts(Time now);

  /// Ends the connection unless a request is in progress or its last response
  /// is still being written. A request with an incomplete head gets 408.
  void EndWithoutRequest();

  /// Frees the memory of a connection that was chosen to make room: refuses the
  /// request that is being read, or closes the connection.
  void Shed();

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
    return m_socket.is_open() ? m_output.UnsentBytes() : 0;
  }

  /// Closes the connection and discards what was not sent.
  void Drop(Refusal reason);

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
  RequestReader::Callbacks ReaderCallbacks();
  OutputWriter::Callbacks OutputCallbacks();
  /// @return whether no byte of a request was received and no response is
  /// being written
  bool IsIdle() const;
  /// @return whether the connection is closed after the response in progress. A
  /// stopping server first answers the requests that were received with it.
  bool ClosesAfterResponse() const;
  void Read();
  void OnReadable(const asio::error_code& error);
  void Receive(std::string_view data);
  /// Parses bytes of one request and dispatches it when it is complete; the
  /// bytes after it become `m_input`.
  void Parse(std::string_view data);
  void ParseInput();
  void DispatchRequest();
  void Reject(Refusal reason);
  /// @return whether so much of a response is unsent that the connection counts
  /// as waiting for its caller
  bool HasUnreadResponse() const;
  shedding::Activity CurrentActivity() const;
  /// Asks for the memory that the connection holds.
  /// @param body_capacity memory of the body, in bytes
  /// @return whether it was granted
  bool AskForMemory(std::size_t body_capacity);
  /// Reports the memory that the connection holds, which may drop others, or
  /// the connection itself.
  void UpdateMemory();
  /// Decides whether the connection is closed after the response.
  std::string FormatHead(int status, const HttpHeaders& headers);
  void Flush();
  void OnWritten(const asio::error_code& error);
  void FinishResponse();
  void BeginClosing();
  void CloseNow();
  void NotifyClosed();

  asio::ip::tcp::socket m_socket;
  std::shared_ptr<SharedServerState> m_shared;
  shedding::ConnectionId m_id;
  RequestReader m_reader;
  std::string m_input;  ///< Received and not yet parsed.
  OutputWriter m_output;
  std::function<void()> m_on_closed;
  std::size_t m_sequence = 0;
  Phase m_phase = Phase::kReading;
  Time m_timed_since{};  ///< Start of the period that `CheckTimeouts` limits.
  std::size_t m_discarded = 0;  ///< Input after the last request, in bytes.
  bool m_read_pending = false;
  bool m_keep_alive = true;
  bool m_is_head_request = false;
  bool m_close_announced = false;  ///< In the head of the response.
  bool m_first_byte_seen = false;
  bool m_close_when_idle = false;
};

}  // namespace jasminehatch::net

#endif  // JASMINEHATCH_STREAM_SERVER_CONNECTION_H_
