// Result of one batch job of a load run.
#pragma once

#include <cstdint>
#include <string>

namespace tamarack {

/// @brief Counts of a job's items by their results, as read back from its files.
struct batch_result
{
    std::string name;
    std::string status; // of the job in the API, or the error of the last request
    std::uint32_t items = 0;
    std::uint32_t whole = 0; // items with the expected answer
    std::uint32_t wrong = 0;
    std::uint32_t errors = 0; // items with an error result
    std::uint32_t duplicates = 0; // results beyond an item's first
    std::uint32_t missing = 0; // items without a result
    double seconds = 0; // from the upload to the final status

    /// @return items with the expected answer, per second
    [[nodiscard]] double itemsPerSecond() const { return seconds > 0 ? whole / seconds : 0; }
};

} // namespace tamarack
