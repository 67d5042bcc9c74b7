#ifndef JASMINEHATCH_DETAIL_HTTP_HTTP_SERVER_H_
#define JASMINEHATCH_DETAIL_HTTP_HTTP_SERVER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "jasminehatch/detail/http/http_message.h"
#include "jasminehatch/detail/shedding/caller_refusal.h"
#include "jasminehatch/detail/shedding/options.h"

namespace asio {
class io_context;
}

namespace jasminehatch::net {

class ResponseWriter;

/// @brief HTTP/1.1 server on an Asio loop. All calls and callbacks run on the
/// loop's thread.
class HttpServer {
 public:
  struct Options {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;  ///< 0 lets the kernel choose.
    /// In bytes. Bodies that are larger by up to 64 KiB are passed to the
    /// handler, which refuses them; beyond that the server closes the
    /// connection.
    std::size_t body_limit = 8UL << 20U;
    /// Time limit for receiving a request, and for an idle connection.
    std::chrono::milliseconds read_timeout{60'000};
    /// Time limit for sending one buffer of a response.
    std::chrono::milliseconds write_timeout{60'000};
    /// Further connections wait in the kernel's backlog.
    std::size_t connection_limit = 20'000;
    /// Limits the memory of what was received and of requests in progress, and
    /// the number of connections; beyond them connections are closed.
    shedding::Options memory;
    /// Called for each connection that is closed because of `memory`.
    std::function<void(shedding::CallerRefusal)> on_refusal;
  };

  using Handler = std::function<void(HttpRequest request,
                                     std::shared_ptr<ResponseWriter> writer)>;

  /// @throw TransportError 301 when the address cannot be bound
  HttpServer(asio::io_context& loop, const Options& options, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @return the bound port
  std::uint16_t Port() const;

  /// @return the number of responses that are not yet completely handed to the
  /// kernel
  std::size_t UnfinishedResponses() const;

  /// @return the memory of connections, of what was received and of requests in
  /// progress, in bytes
  std::size_t MemoryBytes() const;

  /// Stops accepting connections. Responses in progress continue; later
  /// requests on open connections are refused with 503.
  void Close();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace jasminehatch::net

#endif  // JASMINEHATCH_DETAIL_HTTP_HTTP_SERVER_H_
