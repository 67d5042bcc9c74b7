#include "jasminehatch/detail/emulator/endless_writer.h"

#include <array>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <utility>

namespace jasminehatch::emulator {
namespace {

using std::chrono::milliseconds;

/// Size of one write without pauses, in bytes.
constexpr std::size_t kBlockBytes = 16384;

constexpr std::array kResponses{
    EndlessBytes{"garbage", "", "\x01\x02garbage"},
    EndlessBytes{"status line", "HTTP/1.1 200 ", "aaaaaaaa"},
    EndlessBytes{"header lines", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
    EndlessBytes{"header line", "HTTP/1.1 200 OK\r\nX-A: ", "aaaaaaaa"},
    EndlessBytes{"informational responses", "",
                 "HTTP/1.1 100 Continue\r\n\r\n"},
    EndlessBytes{"body", "HTTP/1.1 200 OK\r\n\r\n", "aaaaaaaa"},
    EndlessBytes{"chunks",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                 "8\r\naaaaaaaa\r\n"},
    EndlessBytes{"chunk extension",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8;",
                 "aaaaaaaa"},
    EndlessBytes{"trailers",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                 "X-A: b\r\n"},
    EndlessBytes{"single bytes of a head", "HTTP/1.1 200 OK\r\nX-A: ", "a",
                 milliseconds(10)},
    EndlessBytes{"single bytes of a body", "HTTP/1.1 200 OK\r\n\r\n", "a",
                 milliseconds(10)}};

constexpr std::array kRequests{
    EndlessBytes{"garbage", "", "\x01\x02garbage"},
    EndlessBytes{"empty lines", "", "\r\n"},
    EndlessBytes{"request line", "GET /", "aaaaaaaa"},
    EndlessBytes{"header lines", "GET / HTTP/1.1\r\nHost: h\r\n", "X-A: b\r\n"},
    EndlessBytes{"header line",
                 "GET / HTTP/1.1\r\nHost: h\r\nX-A: ", "aaaaaaaa"},
    EndlessBytes{
        "chunks",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
        "8\r\naaaaaaaa\r\n"},
    EndlessBytes{"chunk extension",
                 "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                 "chunked\r\n\r\n8;",
                 "aaaaaaaa"},
    EndlessBytes{"trailers",
                 "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                 "chunked\r\n\r\n0\r\n",
                 "X-A: b\r\n"},
    EndlessBytes{"single bytes of a head",
                 "GET / HTTP/1.1\r\nHost: h\r\nX-A: ", "a", milliseconds(10)},
    EndlessBytes{
        "single bytes of a body",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n", "a",
        milliseconds(10)}};

}  // namespace

std::span<const EndlessBytes> EndlessResponses() {
  return kResponses;
}

std::span<const EndlessBytes> EndlessRequests() {
  return kRequests;
}

EndlessWriter::EndlessWriter(std::shared_ptr<asio::ip::tcp::socket> socket,
                             const EndlessBytes& bytes,
                             const std::string& start)
    : m_socket(std::move(socket)),
      m_timer(m_socket->get_executor()),
      m_interval(bytes.interval),
      m_next(start),
      m_repeated(bytes.repeated) {
  if (m_interval == milliseconds(0)) {
    while (m_repeated.size() < kBlockBytes) {
      m_repeated += bytes.repeated;
    }
  }
}

void EndlessWriter::Start() {
  DetectClose();
  Write();
}

void EndlessWriter::Write() {
  if (m_next.empty()) {
    m_next = m_repeated;
  }
  asio::async_write(
      *m_socket, asio::buffer(m_next),
      [self = shared_from_this()](const asio::error_code& error, std::size_t) {
        if (error) {
          self->m_closed = true;
          return;
        }
        self->m_next = self->m_repeated;
        if (self->m_interval == milliseconds(0)) {
          self->Write();
          return;
        }
        self->m_timer.expires_after(self->m_interval);
        self->m_timer.async_wait(
            [self](const asio::error_code&) { self->Write(); });
      });
}

void EndlessWriter::DetectClose() {
  m_socket->async_read_some(
      asio::buffer(&m_received, 1),
      [self = shared_from_this()](const asio::error_code& error, std::size_t) {
        if (error) {
          self->m_closed = true;
          asio::error_code ignored;
          self->m_socket->close(ignored);
          return;
        }
        self->DetectClose();
      });
}

}  // namespace jasminehatch::emulator
