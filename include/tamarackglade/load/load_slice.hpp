// Results of the requests planned within a short interval for one target.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace tamarack {

/// @brief Counts of requests by the time of their planned arrival.
struct load_slice
{
    std::uint32_t intended = 0;
    std::uint32_t whole = 0; // at most intended
    std::map<std::string, std::uint32_t> reasons; // counts of requests not whole

    void merge(const load_slice &other);
};

} // namespace tamarack
