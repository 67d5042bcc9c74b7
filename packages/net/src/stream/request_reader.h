#ifndef JASMINEHATCH_STREAM_REQUEST_READER_H_
#define JASMINEHATCH_STREAM_REQUEST_READER_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "jasminehatch/detail/http/http_message.h"
#include "jasminehatch/detail/shedding/caller_refusal.h"
#include "message_parser.h"

namespace jasminehatch::net {

struct CallerLimits;

/// @brief Reads the requests of one connection, one at a time, and checks each
/// against the limits and the rules of HTTP/1.1.
class RequestReader {
 public:
  using Refusal = shedding::CallerRefusal;

  struct Callbacks {
    /// Asks for a buffer of the body, in bytes; the request is refused if the
    /// result is false.
    std::function<bool(std::size_t body_capacity)> ask_for_memory;
    /// Bytes of the body were received.
    std::function<void(std::size_t bytes)> on_body;
    /// The caller sends the body after a response with status 100.
    std::function<void()> on_continue_expected;
  };

  /// @param limits must outlive this object
  RequestReader(const CallerLimits& limits, Callbacks callbacks);
  RequestReader(const RequestReader&) = delete;
  RequestReader& operator=(const RequestReader&) = delete;

  /// Reads bytes up to the end of the request.
  /// @return the number of bytes read
  std::size_t Read(std::string_view data);

  /// @return why the request is refused, if it is
  const std::optional<Refusal>& RefusalReason() const { return m_refusal; }

  bool IsHeadComplete() const { return m_parser.IsHeadComplete(); }
  bool IsComplete() const { return m_parser.IsMessageComplete(); }
  bool ShouldKeepAlive() const { return m_parser.ShouldKeepAlive(); }

  /// @return whether the method is known to be HEAD
  bool IsHeadRequest() const {
    return IsHeadComplete() && m_parser.Method() == "HEAD";
  }

  /// @return the memory of the head, in bytes
  std::size_t HeadMemoryBytes() const { return m_parser.MemoryBytes(); }

  /// @return the memory of the body, in bytes
  std::size_t BodyCapacity() const { return m_body.capacity(); }

  /// Returns the complete request and prepares for the next one.
  HttpRequest Take();

  /// Discards the request.
  void Discard();

  /// Frees the memory of the body.
  void ReleaseBody() { std::string().swap(m_body); }

 private:
  void OnHead();
  void OnBody(std::string_view data);
  /// Makes the buffer of the body at least this large, if the memory is
  /// granted; otherwise refuses the request.
  void GrowBody(std::size_t bytes);

  const CallerLimits& m_limits;
  Callbacks m_callbacks;
  MessageParser m_parser{HTTP_REQUEST};
  std::string m_body;
  std::optional<Refusal> m_refusal;
};

}  // namespace jasminehatch::net

#endif  // JASMINEHATCH_STREAM_REQUEST_READER_H_
