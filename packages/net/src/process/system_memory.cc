#include "jasminehatch/detail/process/system_memory.h"

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace jasminehatch::net {
namespace {

/// Limits of the control group, in its second and its first version. The second
/// has the text `max` for none.
constexpr const char* kLimitFiles[] = {
    "/sys/fs/cgroup/memory.max", "/sys/fs/cgroup/memory/memory.limit_in_bytes"};

/// A daemon does not run in less; a smaller limit is a misreading.
constexpr std::size_t kMinPlausibleBytes = 32'000'000;

constexpr int kLargeBufferBytes = 128 << 10;

constexpr std::size_t kDefaultDescriptors = 1024;

}  // namespace

std::size_t SystemMemoryBytes() {
  const auto physical = static_cast<std::size_t>(sysconf(_SC_PHYS_PAGES)) *
                        static_cast<std::size_t>(sysconf(_SC_PAGE_SIZE));
  for (const char* name : kLimitFiles) {
    std::size_t limit = 0;
    if (std::ifstream(name) >> limit && limit >= kMinPlausibleBytes &&
        limit < physical) {
      return limit;
    }
  }
  return physical;
}

std::size_t DescriptorLimit() {
  rlimit limit{};
  return getrlimit(RLIMIT_NOFILE, &limit) == 0
             ? static_cast<std::size_t>(limit.rlim_cur)
             : kDefaultDescriptors;
}

void ReturnLargeBuffers() {
  mallopt(M_MMAP_THRESHOLD, kLargeBufferBytes);
}

}  // namespace jasminehatch::net
