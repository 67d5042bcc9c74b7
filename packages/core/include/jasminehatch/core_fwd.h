#ifndef JASMINEHATCH_CORE_FWD_H_
#define JASMINEHATCH_CORE_FWD_H_

/// @file
/// @brief Forward declarations of the core library.

namespace jasminehatch {

class Clock;
struct Digest;
struct Event;
struct State;
enum class RefusalCode;
enum class Verdict;

namespace serving {
struct State;
struct UpstreamSpec;
}  // namespace serving

namespace booking {
class BookingIndex;
struct State;
}  // namespace booking

}  // namespace jasminehatch

#endif  // JASMINEHATCH_CORE_FWD_H_
