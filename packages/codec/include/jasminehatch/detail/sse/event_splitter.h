#ifndef JASMINEHATCH_DETAIL_SSE_EVENT_SPLITTER_H_
#define JASMINEHATCH_DETAIL_SSE_EVENT_SPLITTER_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace jasminehatch::codec {

/// @brief Cuts the bytes of a server-sent event stream into whole events,
/// without changing them.
class EventSplitter {
 public:
  /// @brief A whole event with the empty line that ends it.
  struct Event {
    std::string_view bytes;
    std::string_view id;  ///< Empty when the event has none.
  };

  /// Receives events; the views are valid during the call.
  using Sink = std::function<void(const Event& event)>;

  /// Takes bytes in any partition and passes on the events that they complete.
  void Feed(std::string_view data, const Sink& sink);

  /// @return bytes of an event that is not complete yet
  std::size_t PendingBytes() const { return m_pending.size(); }

  void Clear() { m_pending.clear(); }

 private:
  std::string m_pending;
};

}  // namespace jasminehatch::codec

#endif  // JASMINEHATCH_DETAIL_SSE_EVENT_SPLITTER_H_
