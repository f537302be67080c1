// Results of one customer and class in a load run.
#pragma once

#include <tamarackglade/load/latency_histogram.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace tamarack {

/// @brief Counts and latencies. Every intended request is counted, including those without an
/// answer.
struct load_row
{
    std::uint64_t intended = 0;
    std::uint64_t intendedWithinRate = 0;
    std::uint64_t whole = 0;
    std::uint64_t refused = 0;
    std::uint64_t refusedWithinRate = 0;
    std::uint64_t failed = 0;
    std::uint64_t cut = 0;
    std::uint64_t wrong = 0;
    std::uint64_t unfinished = 0;
    std::uint64_t tokens = 0; // of whole answers
    std::map<std::string, std::uint64_t> reasons; // counts of requests not whole
    latency_histogram firstToken; // of streamed requests, from the intended arrival
    latency_histogram gap; // between tokens; the missing tokens of a cut answer count as missing
    latency_histogram total; // from the intended arrival

    /// @brief Adds another row's results.
    void merge(const load_row &other);
};

} // namespace tamarack
