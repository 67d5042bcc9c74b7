#include "caller_crowd.h"

#include <jasminehatch/net.h>

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/write.hpp>
#include <utility>

namespace jasminehatch::test {
namespace {

constexpr std::size_t kBodyBytes = 4UL << 20U;
constexpr std::string_view kFullLength = "Content-Length: 4194304";
constexpr std::string_view kChunked = "Transfer-Encoding: chunked";

std::string Chunk(std::size_t bytes) {
  std::array<char, 16> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", bytes);
  return size.data() + std::string(bytes, 'a') + "\r\n";
}

std::string Repeat(const std::string& text, std::size_t count) {
  std::string result;
  for (std::size_t i = 0; i < count; ++i) {
    result += text;
  }
  return result;
}

}  // namespace

std::vector<CrowdKind> CrowdKinds() {
  // A chunk of one byte takes 6 bytes; writes are batched, as the kernel would
  // do.
  constexpr std::size_t kTinyChunks = 8192;
  return {
      {"whole_body", kFullLength, std::string(65536, 'a'), kBodyBytes - 1},
      {"small_pieces", kFullLength, std::string(1000, 'a'), kBodyBytes - 1},
      {"large_chunks", kChunked, Chunk(60'000), kBodyBytes},
      {"tiny_chunks", kChunked, Repeat(Chunk(1), kTinyChunks),
       kBodyBytes * Chunk(1).size()},
      {"huge_length", "Content-Length: 1000000000000", std::string(65536, 'a')},
      {"endless_chunks", kChunked, Chunk(60'000)},
  };
}

class CallerCrowd::Client : public std::enable_shared_from_this<Client> {
 public:
  Client(asio::io_context& loop, const CrowdKind& kind, std::string head)
      : m_socket(loop), m_kind(kind), m_head(std::move(head)) {}

  void Start(const asio::ip::tcp::endpoint& server) {
    m_socket.async_connect(
        server, [self = shared_from_this()](const asio::error_code& error) {
          if (error) {
            self->Close();
            return;
          }
          self->Read();
          asio::async_write(
              self->m_socket, asio::buffer(self->m_head),
              [self](const asio::error_code& failure, std::size_t /*length*/) {
                self->OnWritten(failure, 0);
              });
        });
  }

  void Close() {
    asio::error_code ignored;
    m_socket.close(ignored);
    m_closed = true;
  }

  bool IsClosed() const { return m_closed; }
  bool IsSettled() const { return m_closed || m_sent_all; }

 private:
  void Read() {
    m_socket.async_read_some(
        asio::buffer(m_buffer),
        [self = shared_from_this()](const asio::error_code& error,
                                    std::size_t /*length*/) {
          // The end of the response does not stop a client that still writes.
          if (!error) {
            self->Read();
          } else if (error != asio::error::eof || self->m_sent_all) {
            self->Close();
          }
        });
  }

  void OnWritten(const asio::error_code& error, std::size_t length) {
    if (error || m_closed) {
      Close();
      return;
    }
    m_sent += length;
    const std::size_t left = m_kind.total_bytes == 0
                                 ? m_kind.piece.size()
                                 : m_kind.total_bytes - m_sent;
    if (left == 0) {
      m_sent_all = true;
      return;
    }
    asio::async_write(
        m_socket,
        asio::buffer(m_kind.piece.data(), std::min(left, m_kind.piece.size())),
        [self = shared_from_this()](const asio::error_code& failure,
                                    std::size_t written) {
          self->OnWritten(failure, written);
        });
  }

  asio::ip::tcp::socket m_socket;
  const CrowdKind& m_kind;
  std::string m_head;
  std::array<char, 1024> m_buffer{};
  std::size_t m_sent = 0;
  bool m_sent_all = false;
  bool m_closed = false;
};

CallerCrowd::CallerCrowd(asio::io_context& loop,
                         const std::string& address,
                         std::string_view target,
                         std::span<const CrowdKind> kinds,
                         std::size_t clients) {
  const auto server = net::ParseIpPort(address).value();
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(server.ip),
                                         server.port);
  for (std::size_t i = 0; i < clients; ++i) {
    const CrowdKind& kind = kinds[i % kinds.size()];
    std::string head =
        "POST " + std::string(target) +
        " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: c" + std::to_string(i) +
        "\r\nX-Deadline-Ms: 20000\r\nAuthorization: Token key\r\n" +
        std::string(kind.framing) + "\r\n\r\n";
    m_clients.push_back(std::make_shared<Client>(loop, kind, std::move(head)));
    m_clients.back()->Start(endpoint);
  }
}

CallerCrowd::~CallerCrowd() {
  for (const auto& client : m_clients) {
    client->Close();
  }
}

bool CallerCrowd::IsSettled() const {
  return std::all_of(m_clients.begin(), m_clients.end(),
                     [](const auto& client) { return client->IsSettled(); });
}

std::size_t CallerCrowd::Closed() const {
  return static_cast<std::size_t>(
      std::count_if(m_clients.begin(), m_clients.end(),
                    [](const auto& client) { return client->IsClosed(); }));
}

}  // namespace jasminehatch::test
