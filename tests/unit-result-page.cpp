// Tests of the pages in which a job's results are answered.
#include <tamarackglade/batches/result_page.hpp>

#include <doctest/doctest.h>

#include <algorithm>

using namespace tamarack;

namespace {

constexpr std::uint64_t HalfOfPage = 450 * 1024;

/// Adds an item that is done, with a text of this size, or one that was abandoned.
void addResult(customer_batch &job, batch_item_state state, std::uint64_t size = 0)
{
    batch_job_item item;
    item.state = state;
    if (size > 0)
        item.output = {0, stream_position(job.items.size()), 1, size};
    job.results.push_back(job.items.size());
    job.items.push_back(std::move(item));
}

} // namespace

TEST_CASE("a page has at least one result, and no more than fit")
{
    customer_batch job;
    for (std::uint64_t size : {4 * HalfOfPage, HalfOfPage, HalfOfPage, HalfOfPage})
        addResult(job, batch_item_state::Done, size);
    CHECK(placesOfPage(job, 0).size() == 1);
    CHECK(placesOfPage(job, 1).size() == 2);
    CHECK(placesOfPage(job, 3) == std::vector{job.items.back().output});
    CHECK(placesOfPage(job, 4).empty());
}

TEST_CASE("the number of results on a page is bounded also if they have no texts")
{
    constexpr std::size_t MaxResults = 32;
    customer_batch job;
    for (std::size_t i = 0; i < 2 * MaxResults; ++i)
        addResult(job, batch_item_state::Abandoned);
    const auto places = placesOfPage(job, 0);
    CHECK(places.size() == MaxResults);
    CHECK(
        std::all_of(places.begin(), places.end(), [](const auto &each) { return each.isEmpty(); }));
}

TEST_CASE("sizes of a page tell texts that differ from their records, and texts of abandoned items")
{
    customer_batch job;
    addResult(job, batch_item_state::Done, 4);
    addResult(job, batch_item_state::Abandoned);
    addResult(job, batch_item_state::Done, 3);
    const page_sizes sizes = sizesOfPage(job, 1, {"text", "abc"});
    CHECK(sizes.results == 2);
    CHECK(sizes.abandoned == 1);
    CHECK(sizes.bytes == 7);
    CHECK(sizes.abandonedBytes == 4);
    CHECK(sizes.recordedBytes == 3);
}
