#include "jasminehatch/detail/testing/booking_action.h"

#include <array>
#include <cstddef>
#include <ostream>
#include <string_view>

namespace jasminehatch::testing {
namespace {

using Kind = BookingAction::Kind;

struct KindInfo {
  std::string_view name;
  std::uint32_t weight;            ///< Share of the actions with all faults.
  std::uint32_t faultless_weight;  ///< Share of the actions without faults.
};

constexpr std::array<KindInfo, static_cast<std::size_t>(Kind::kCount)> kKinds{{
    {"arrive", 30, 20},  {"arrive_hurried", 6, 0}, {"arrive_other", 2, 0},
    {"cancel", 4, 0},    {"query", 4, 4},          {"deliver", 60, 40},
    {"lose", 10, 0},     {"refuse", 6, 0},         {"duplicate", 8, 0},
    {"read", 60, 40},    {"tick", 40, 20},         {"pause", 4, 0},
    {"resume", 6, 0},    {"kill", 2, 0},           {"restart", 4, 0},
    {"tell_gone", 4, 0}, {"tell_zone", 3, 3},      {"log_outage", 2, 0},
    {"stop", 1, 0},
}};

std::uint32_t WeightOf(const KindInfo& info, BookingFaults faults) {
  return faults == BookingFaults::kAll ? info.weight : info.faultless_weight;
}

}  // namespace

std::string ToString(const BookingAction& action) {
  return std::string(kKinds.at(static_cast<std::size_t>(action.kind)).name) +
         " " + std::to_string(action.a) + " " + std::to_string(action.b);
}

std::ostream& operator<<(std::ostream& stream, const BookingAction& action) {
  return stream << ToString(action);
}

BookingAction ChooseBookingAction(std::uint64_t random, BookingFaults faults) {
  std::uint32_t total = 0;
  for (const KindInfo& info : kKinds) {
    total += WeightOf(info, faults);
  }
  auto place = static_cast<std::uint32_t>((random >> 16U) % total);
  BookingAction action;
  action.a = static_cast<std::uint8_t>(random & 0xFFU);
  action.b = static_cast<std::uint8_t>((random >> 8U) & 0xFFU);
  for (std::size_t i = 0; i < kKinds.size(); ++i) {
    const std::uint32_t weight = WeightOf(kKinds.at(i), faults);
    if (place < weight) {
      action.kind = static_cast<Kind>(i);
      break;
    }
    place -= weight;
  }
  if (action.kind == Kind::kTick && faults == BookingFaults::kNone) {
    // Longer steps would act like pauses, which are faults.
    action.a %= 4U;
  }
  return action;
}

}  // namespace jasminehatch::testing
