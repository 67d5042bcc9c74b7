#ifndef JASMINEHATCH_HTTP_COUNTED_SOCKET_H_
#define JASMINEHATCH_HTTP_COUNTED_SOCKET_H_

#include <asio/bind_executor.hpp>
#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <string_view>
#include <utility>

#include "receive_gauge.h"

namespace jasminehatch::net {

/// @brief Socket of a RESTinio connection whose received bytes are counted.
class CountedSocket : public asio::ip::tcp::socket {
 public:
  using asio::ip::tcp::socket::socket;

  // The names are Asio's.
  // NOLINTBEGIN(readability-identifier-naming)
  /// Reads as a plain socket does; the read fails if there is no room for what
  /// was received.
  template <typename Handler>
  void async_read_some(const asio::mutable_buffer& buffer, Handler&& handler) {
    if (!std::exchange(m_attached, true)) {
      m_gauge = ReceiveGauge::Attach(*this, m_id);
    }
    asio::ip::tcp::socket::async_read_some(
        asio::buffer(buffer),
        // The handler keeps the connection, and so this socket, alive.
        [this, buffer, handler = std::forward<Handler>(handler)](
            const asio::error_code& error, std::size_t length) mutable {
          const bool admitted =
              error || m_gauge == nullptr ||
              m_gauge->Admit(m_id,
                             {static_cast<const char*>(buffer.data()), length});
          handler(
              admitted ? error : asio::error_code(asio::error::no_buffer_space),
              admitted ? length : 0);
        });
  }
  // NOLINTEND(readability-identifier-naming)

 private:
  ReceiveGauge* m_gauge = nullptr;
  ReceiveGauge::ConnectionId m_id = 0;
  bool m_attached = false;
};

}  // namespace jasminehatch::net

#endif  // JASMINEHATCH_HTTP_COUNTED_SOCKET_H_
