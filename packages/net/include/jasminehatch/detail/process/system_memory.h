#ifndef JASMINEHATCH_DETAIL_PROCESS_SYSTEM_MEMORY_H_
#define JASMINEHATCH_DETAIL_PROCESS_SYSTEM_MEMORY_H_

#include <cstddef>

namespace jasminehatch::net {

/// @brief Returns the memory that this process can use, as the operating system
/// reports it: the limit of its control group, if there is a plausible one, and
/// otherwise the physical memory.
/// @return bytes
std::size_t SystemMemoryBytes();

/// @return how many file descriptors this process can have open
std::size_t DescriptorLimit();

/// @brief Makes freed buffers of 128 KiB and more return to the operating
/// system at once.
///
/// By default glibc raises that size to the largest buffer freed so far, up to
/// 32 MiB; the memory of bodies would then stay in the heap, in fragments.
void ReturnLargeBuffers();

}  // namespace jasminehatch::net

#endif  // JASMINEHATCH_DETAIL_PROCESS_SYSTEM_MEMORY_H_
