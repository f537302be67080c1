// One page of a job's results: which results fit into it, and how long their texts are.
#pragma once

#include <tamarackglade/batches/content_place.hpp>
#include <tamarackglade/batches/customer_batch.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace tamarack {

/// @brief Returns the places of the texts of the results that one response may have.
///
/// The first result is on the page even if it is too large alone.
/// @param from position of the page's first result
std::vector<content_place> placesOfPage(const customer_batch &job, std::size_t from);

/// @brief Sizes of a page, in bytes but for the numbers of results.
struct page_sizes
{
    std::size_t results = 0;
    std::size_t abandoned = 0; // results of items that were given up, which have no text
    std::uint64_t bytes = 0; // of all texts as they were read
    std::uint64_t abandonedBytes = 0; // of the texts of abandoned results
    std::uint64_t recordedBytes = 0; // of all texts by the records of the job
};

/// @brief Adds up the sizes of a page.
/// @param texts the texts of the results from the position on, as they were read
page_sizes sizesOfPage(const customer_batch &job, std::size_t from,
                       const std::vector<std::string> &texts);

} // namespace tamarack
