#ifndef JASMINEHATCH_DETAIL_BASE_RANDOM_SEQUENCE_H_
#define JASMINEHATCH_DETAIL_BASE_RANDOM_SEQUENCE_H_

#include <cstdint>

namespace jasminehatch {

/// @brief Pseudo-random number generator (SplitMix64). Its seed comes from an
/// event, so that the reducers are deterministic.
class RandomSequence {
 public:
  void Seed(std::uint64_t seed) { m_state = seed; }

  std::uint64_t Next() {
    m_state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t value = m_state;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
  }

  /// @return a number below `limit`, which must not be 0
  std::uint64_t Below(std::uint64_t limit) { return Next() % limit; }

 private:
  std::uint64_t m_state = 0;
};

}  // namespace jasminehatch

#endif  // JASMINEHATCH_DETAIL_BASE_RANDOM_SEQUENCE_H_
