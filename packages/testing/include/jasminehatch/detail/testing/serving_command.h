#ifndef JASMINEHATCH_DETAIL_TESTING_SERVING_COMMAND_H_
#define JASMINEHATCH_DETAIL_TESTING_SERVING_COMMAND_H_

#include <cstdint>

namespace jasminehatch::testing {

/// @brief One step of a random serving sequence. The numbers select a request,
/// an upstream or a variant; any value is valid, so that sequences can be
/// shrunk freely.
struct ServingCommand {
  enum class Kind : std::uint8_t {
    kArrive,
    kChunk,
    kWrongChunk,  ///< Late, of another attempt, repeated or after a gap.
    kEnd,
    kCancel,
    kReport,
    kUnreachable,
    kRestart,
    kLeave,
    kConfigure,
    kCache,
    kReceiveQuarantine,
    kAdvance,
    kCount,
  };

  Kind kind = Kind::kArrive;
  std::uint8_t a = 0;
  std::uint8_t b = 0;
  std::uint8_t c = 0;
};

}  // namespace jasminehatch::testing

#endif  // JASMINEHATCH_DETAIL_TESTING_SERVING_COMMAND_H_
