#ifndef JASMINEHATCH_DETAIL_BOOKING_APPEND_RESULT_H_
#define JASMINEHATCH_DETAIL_BOOKING_APPEND_RESULT_H_

namespace jasminehatch::booking {

/// @brief Result of an append, as far as it is known.
enum class AppendResult {
  kAppended,
  kNotAppended,  ///< Proven: no byte was sent, or the log rejected it.
  kUnknown,      ///< No response; only the log shows the outcome.
};

}  // namespace jasminehatch::booking

#endif  // JASMINEHATCH_DETAIL_BOOKING_APPEND_RESULT_H_
