// Reads the limits from the system.
#include <tamarackglade/runtime/machine_limits.hpp>

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <limits>

namespace tamarack {

namespace {

constexpr int LargeBufferBytes = 256 * 1024; // more than a fiber's stack, which is reused
constexpr int HeapTopBytes = 4 * 1024 * 1024; // free bytes that the heap keeps at its end
constexpr const char *GroupLimitPath = "/sys/fs/cgroup/memory.max"; // a number, or "max"

std::size_t resourceLimit(int resource)
{
    rlimit limit{};
    const bool isSet = ::getrlimit(static_cast<__rlimit_resource_t>(resource), &limit) == 0
                       && limit.rlim_cur != RLIM_INFINITY;
    return isSet ? static_cast<std::size_t>(limit.rlim_cur)
                 : std::numeric_limits<std::size_t>::max();
}

std::size_t physicalMemory()
{
    const long pages = ::sysconf(_SC_PHYS_PAGES);
    const long pageSize = ::sysconf(_SC_PAGESIZE);
    return pages > 0 && pageSize > 0
               ? static_cast<std::size_t>(pages) * static_cast<std::size_t>(pageSize)
               : std::numeric_limits<std::size_t>::max();
}

std::size_t groupMemory()
{
    std::ifstream file(GroupLimitPath);
    std::size_t bytes = 0;
    return file >> bytes && bytes > 0 ? bytes : std::numeric_limits<std::size_t>::max();
}

} // namespace

machine_limits machineLimits()
{
    machine_limits limits;
    limits.memoryBytes = std::min(
        {physicalMemory(), groupMemory(), resourceLimit(RLIMIT_DATA), resourceLimit(RLIMIT_AS)});
    limits.descriptors = resourceLimit(RLIMIT_NOFILE);
    return limits;
}

void returnLargeBuffers()
{
    ::mallopt(M_MMAP_THRESHOLD, LargeBufferBytes);
    ::mallopt(M_TRIM_THRESHOLD, HeapTopBytes);
}

} // namespace tamarack
