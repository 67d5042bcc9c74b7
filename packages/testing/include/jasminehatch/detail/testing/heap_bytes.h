#ifndef JASMINEHATCH_DETAIL_TESTING_HEAP_BYTES_H_
#define JASMINEHATCH_DETAIL_TESTING_HEAP_BYTES_H_

#include <malloc.h>

#include <cstddef>

namespace jasminehatch::testing {

/// @return the size of what the process has allocated and not freed, in bytes
inline std::size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

}  // namespace jasminehatch::testing

#endif  // JASMINEHATCH_DETAIL_TESTING_HEAP_BYTES_H_
