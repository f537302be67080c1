// Memory and descriptors that this process may use.
#pragma once

#include <cstddef>

namespace tamarack {

/// @brief Limits of this process.
struct machine_limits
{
    std::size_t memoryBytes = 0;
    std::size_t descriptors = 0;
};

/// @return the lowest of the limits that are set: memory of the machine, of the control group and
/// of the process (ulimit -d and -v); descriptors of the process (ulimit -n)
machine_limits machineLimits();

/// @brief Lets the allocator give large buffers back to the system as soon as they are freed. By
/// default it keeps them in the heap, where gaps between them add up; call once at the start.
void returnLargeBuffers();

} // namespace tamarack
