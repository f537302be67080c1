// A customer's requests in one second, as the rate limit judged them.
#pragma once

#include <cstdint>

namespace tamarack {

struct burn_second
{
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;

    burn_second &operator+=(const burn_second &other)
    {
        admitted += other.admitted;
        refused += other.refused;
        return *this;
    }
    friend bool operator==(const burn_second &, const burn_second &) = default;
};

} // namespace tamarack
