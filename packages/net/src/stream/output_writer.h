#ifndef JASMINEHATCH_STREAM_OUTPUT_WRITER_H_
#define JASMINEHATCH_STREAM_OUTPUT_WRITER_H_

#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace jasminehatch::net {

/// @brief Writes the output of one connection to its socket, one part after
/// another, and tracks how much its recipient has yet to read.
class OutputWriter {
 public:
  using Time = std::chrono::steady_clock::time_point;

  struct Callbacks {
    /// The recipient has taken further bytes.
    std::function<void(std::size_t bytes, Time now)> on_progress;
    /// The write ended; nothing is being written now.
    std::function<void(const asio::error_code& error)> on_written;
  };

  /// @param socket must outlive this object
  OutputWriter(asio::ip::tcp::socket& socket, Callbacks callbacks)
      : m_socket(socket), m_callbacks(std::move(callbacks)) {}
  OutputWriter(const OutputWriter&) = delete;
  OutputWriter& operator=(const OutputWriter&) = delete;

  /// Appends text for the next call of `Write`.
  void Append(std::string_view text) { m_waiting += text; }

  /// @return the text for the next call of `Write`, to append to
  std::string& Waiting() { return m_waiting; }

  /// @return whether there is text that is not being written yet
  bool HasWaiting() const { return !m_waiting.empty(); }

  /// Writes all waiting text. Nothing may be being written.
  /// @param owner keeps this object alive until the write has ended
  void Write(const std::shared_ptr<const void>& owner);

  bool IsWriting() const { return m_writing; }

  /// @return when the recipient last took bytes of what is being written, or
  /// when the write began
  Time ProgressAt() const { return m_progress_at; }

  /// @return the size of the waiting text and of the whole write in progress,
  /// in bytes
  std::size_t UnsentBytes() const {
    return m_waiting.size() + m_sending.size();
  }

  /// @return the memory of the buffers, in bytes
  std::size_t MemoryBytes() const {
    return m_waiting.capacity() + m_sending.capacity();
  }

  /// Discards the waiting text and frees its memory.
  void DiscardWaiting() { std::string().swap(m_waiting); }

 private:
  /// @param sent bytes of `m_sending` that were sent
  void OnProgress(std::size_t sent);
  /// Frees the memory of what was sent.
  void ReleaseSent();

  asio::ip::tcp::socket& m_socket;
  Callbacks m_callbacks;
  std::string m_waiting;
  std::string m_sending;
  bool m_writing = false;
  std::size_t m_sent = 0;  ///< Bytes of `m_sending`.
  Time m_progress_at{};
};

}  // namespace jasminehatch::net

#endif  // JASMINEHATCH_STREAM_OUTPUT_WRITER_H_
