#ifndef JASMINEHATCH_DETAIL_SSE_SSE_PARSER_H_
#define JASMINEHATCH_DETAIL_SSE_SSE_PARSER_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace jasminehatch::codec {

/// @brief Splits a stream of server-sent events into the data of its events.
class SseParser {
 public:
  /// Size of the largest accepted event, in bytes.
  static constexpr std::size_t kMaxEventBytes = 1UL << 20U;

  /// @brief Feeds the next bytes, split at any place.
  /// @param on_data called with the data of each complete event
  /// @throw CodecError 202 when an event is larger than `kMaxEventBytes`
  void Feed(std::string_view bytes,
            const std::function<void(std::string_view data)>& on_data);

 private:
  void ProcessLine(std::string_view line,
                   const std::function<void(std::string_view data)>& on_data);

  std::string m_line;
  std::string m_data;
  bool m_has_data = false;
};

}  // namespace jasminehatch::codec

#endif  // JASMINEHATCH_DETAIL_SSE_SSE_PARSER_H_
