// Event counts of the burn report.
#pragma once

#include <cstdint>

namespace tamarack {

/// @brief Number of events that meet an objective and that miss it.
struct burn_count
{
    std::uint64_t good = 0;
    std::uint64_t bad = 0;

    [[nodiscard]] std::uint64_t total() const { return good + bad; }

    burn_count &operator+=(const burn_count &other)
    {
        good += other.good;
        bad += other.bad;
        return *this;
    }
    friend bool operator==(const burn_count &, const burn_count &) = default;
};

} // namespace tamarack
