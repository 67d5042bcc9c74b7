#ifndef JASMINEHATCH_DETAIL_STREAM_STREAM_SERVER_H_
#define JASMINEHATCH_DETAIL_STREAM_STREAM_SERVER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "jasminehatch/detail/shedding/caller_refusal.h"

namespace jasminehatch::shedding {
struct Options;
}

namespace asio {
class io_context;
}

namespace jasminehatch::net {

class ServerExchange;

/// @brief Limits on the size and duration of callers' requests.
struct CallerLimits {
  std::size_t header_bytes = 16UL << 10U;
  std::size_t body_bytes = 4UL << 20U;
  /// From the first byte of a request to the end of its head.
  std::chrono::milliseconds header_timeout{10'000};
  /// Longest time without a request, and without progress of a body or of a
  /// response that is being read.
  std::chrono::milliseconds idle_timeout{60'000};
};

/// @brief HTTP/1.1 server for requests that are passed on to upstreams.
///
/// Unlike HttpServer, it keeps reading while a request is in progress, so that
/// it notices at once when the caller closes the connection, and it can abort a
/// response so that the caller sees that it is incomplete
/// (`ServerExchange::Abort`). All calls and callbacks run on the loop's thread.
class StreamServer {
 public:
  using Handler = std::function<void(std::shared_ptr<ServerExchange>)>;

  /// @throw TransportError 301 when the address cannot be bound
  StreamServer(asio::io_context& loop,
               const std::string& address,
               std::uint16_t port,
               Handler handler);
  ~StreamServer();
  StreamServer(const StreamServer&) = delete;
  StreamServer& operator=(const StreamServer&) = delete;

  std::uint16_t Port() const;

  /// Sets the limits; connections apply them from their next request on.
  void SetLimits(const CallerLimits& limits);

  /// Limits the memory that all callers take together, and the number of their
  /// connections. Without a call there is no limit.
  void SetMemoryLimits(const shedding::Options& options);

  /// Sets the function that is called for each request that is refused before
  /// it reaches the handler, and for each connection that is closed because of
  /// a limit.
  void SetRefusalCallback(
      std::function<void(shedding::CallerRefusal)> callback);

  /// @return the memory that callers take, in bytes: connections, requests
  /// until they are destroyed, and responses that are not sent yet
  std::size_t MemoryBytes() const;

  /// Makes each response from now on close its connection.
  void CloseAfterResponses();

  /// Stops accepting connections and closes the others: at once those without
  /// a request, and each of the rest after its response.
  void StopAccepting();

  /// @return the number of connections with a request that is being read or
  /// in progress, or with a response that is being written
  std::size_t BusyConnections() const;

  /// @return the number of open connections
  std::size_t OpenConnections() const;

  /// @return the size of the responses that callers have not read yet, in
  /// bytes. Above 16 MiB, the server closes the connections with the largest
  /// ones.
  std::size_t UnsentBytes() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace jasminehatch::net

#endif  // JASMINEHATCH_DETAIL_STREAM_STREAM_SERVER_H_
