#ifndef JASMINEHATCH_DETAIL_EMULATOR_ENDLESS_WRITER_H_
#define JASMINEHATCH_DETAIL_EMULATOR_ENDLESS_WRITER_H_

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <span>
#include <string>

namespace jasminehatch::emulator {

/// @brief Bytes that are sent without end.
struct EndlessBytes {
  const char* name;      ///< For test output.
  const char* start;     ///< Sent once.
  const char* repeated;  ///< Sent again and again.
  /// Pause between two repetitions; zero for as fast as the receiver reads.
  std::chrono::milliseconds interval{0};
};

/// Line after which `EndlessServer` inserts further header lines.
inline constexpr char kOkStatusLine[] = "HTTP/1.1 200 OK\r\n";

/// @return responses that have no end, in each part of a response
std::span<const EndlessBytes> EndlessResponses();

/// @return requests that have no end, in each part of a request
std::span<const EndlessBytes> EndlessRequests();

/// @brief Writes bytes without end to a connection until the other side closes
/// it.
class EndlessWriter : public std::enable_shared_from_this<EndlessWriter> {
 public:
  /// @param start sent in place of `bytes.start`
  EndlessWriter(std::shared_ptr<asio::ip::tcp::socket> socket,
                const EndlessBytes& bytes,
                const std::string& start);

  void Start();

  /// @return whether the other side has closed the connection
  bool IsClosed() const { return m_closed; }

 private:
  void Write();
  void DetectClose();

  std::shared_ptr<asio::ip::tcp::socket> m_socket;
  asio::steady_timer m_timer;
  std::chrono::milliseconds m_interval;
  std::string m_next;
  std::string m_repeated;
  char m_received = 0;
  bool m_closed = false;
};

}  // namespace jasminehatch::emulator

#endif  // JASMINEHATCH_DETAIL_EMULATOR_ENDLESS_WRITER_H_
