#ifndef JASMINEHATCH_DETAIL_EMULATOR_ENDLESS_SERVER_H_
#define JASMINEHATCH_DETAIL_EMULATOR_ENDLESS_SERVER_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "jasminehatch/detail/emulator/endless_writer.h"

namespace jasminehatch::emulator {

/// @brief A server in trouble: sends bytes without end to every client that has
/// sent the head of a request.
class EndlessServer {
 public:
  struct Options {
    /// @return header lines for the response to a request, inserted after
    /// `kOkStatusLine`
    std::function<std::string(std::string_view request)> make_headers;
    /// @return a complete response to a request that is answered as usual, or
    /// an empty text
    std::function<std::string(std::string_view request)> find_response;
  };

  EndlessServer(asio::io_context& loop,
                const EndlessBytes& bytes,
                Options options);
  EndlessServer(asio::io_context& loop, const EndlessBytes& bytes);
  ~EndlessServer();
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  /// @return `ip:port` that it listens on
  std::string Address() const;

  /// @return the number of requests whose response has no end
  std::size_t Requests() const { return m_writers.size(); }

  /// @return whether the clients have closed all connections with such a
  /// response
  bool AllClosed() const;

 private:
  using Socket = std::shared_ptr<asio::ip::tcp::socket>;

  void Accept();
  void ReadHead(const Socket& socket);
  std::string MakeStart(std::string_view request) const;

  asio::ip::tcp::acceptor m_acceptor;
  EndlessBytes m_bytes;
  Options m_options;
  std::vector<std::shared_ptr<EndlessWriter>> m_writers;
  std::vector<std::weak_ptr<asio::ip::tcp::socket>> m_sockets;
  /// Handlers of open connections hold weak pointers to it.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace jasminehatch::emulator

#endif  // JASMINEHATCH_DETAIL_EMULATOR_ENDLESS_SERVER_H_
