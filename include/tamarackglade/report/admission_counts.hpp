// Result of the rate limit for one customer and second.
#pragma once

#include <cstdint>

namespace tamarack {

/// @brief Numbers of requests that the rate limit admitted and refused.
struct admission_counts
{
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;

    admission_counts &operator+=(const admission_counts &other)
    {
        admitted += other.admitted;
        refused += other.refused;
        return *this;
    }
    friend bool operator==(const admission_counts &, const admission_counts &) = default;
};

} // namespace tamarack
