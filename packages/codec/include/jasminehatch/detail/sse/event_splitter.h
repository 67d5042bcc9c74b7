#ifndef JASMINEHATCH_DETAIL_SSE_EVENT_SPLITTER_H_
#define JASMINEHATCH_DETAIL_SSE_EVENT_SPLITTER_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace jasminehatch::codec {

/// @brief Splits a server-sent event stream into complete events without
/// changing their bytes.
class EventSplitter {
 public:
  /// Size up to which an incomplete event is kept, in bytes.
  static constexpr std::size_t kMaxEventBytes = 1UL << 20U;

  /// @brief A complete event with the empty line that ends it.
  struct Event {
    std::string_view bytes;
    std::string_view id;  ///< Empty when the event has none.
  };

  /// Receives events; the views are valid during the call.
  using Sink = std::function<void(const Event& event)>;

  /// Feeds the next bytes, split at any place, and passes on each event that
  /// they complete.
  /// @throw CodecError 203 when an incomplete event is larger than
  /// `kMaxEventBytes`
  void Feed(std::string_view data, const Sink& sink);

  /// @return the size of the incomplete event at the end
  std::size_t PendingBytes() const { return m_pending.size(); }

  /// @return the memory that the splitter takes, in bytes
  std::size_t BufferedBytes() const { return m_pending.capacity(); }

  /// Discards the incomplete event and frees its memory.
  void Clear() { std::string().swap(m_pending); }

 private:
  std::string m_pending;
};

}  // namespace jasminehatch::codec

#endif  // JASMINEHATCH_DETAIL_SSE_EVENT_SPLITTER_H_
