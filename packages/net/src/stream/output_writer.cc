#include "output_writer.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <utility>

namespace jasminehatch::net {
namespace {

/// Memory of sent output that is kept for further output, in bytes.
constexpr std::size_t kMaxSpareBytes = 16UL << 10U;

/// Bytes that are handed to the kernel at once.
constexpr std::size_t kMaxWriteBytes = 64UL << 10U;

}  // namespace

void OutputWriter::Write(const std::shared_ptr<const void>& owner) {
  m_sending = std::exchange(m_waiting, {});
  m_writing = true;
  m_sent = 0;
  m_progress_at = std::chrono::steady_clock::now();
  asio::async_write(
      m_socket, asio::buffer(m_sending),
      [this, owner](const asio::error_code& error, std::size_t sent) {
        OnProgress(sent);
        return error ? 0 : kMaxWriteBytes;
      },
      [this, owner](const asio::error_code& error, std::size_t /*length*/) {
        m_writing = false;
        ReleaseSent();
        m_callbacks.on_written(error);
      });
}

void OutputWriter::OnProgress(std::size_t sent) {
  if (sent == m_sent) {
    return;
  }
  const Time now = std::chrono::steady_clock::now();
  m_callbacks.on_progress(sent - m_sent, now);
  m_sent = sent;
  m_progress_at = now;
}

void OutputWriter::ReleaseSent() {
  m_sending.clear();
  if (m_sending.capacity() > kMaxSpareBytes) {
    m_sending.shrink_to_fit();
  }
}

}  // namespace jasminehatch::net
