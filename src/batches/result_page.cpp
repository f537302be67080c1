// Bounds the results of one response and adds up their sizes.
#include <tamarackglade/batches/result_page.hpp>

namespace tamarack {

namespace {

constexpr std::uint64_t MaxPageBytes = 900 * 1024; // of texts
constexpr std::size_t MaxPageResults = 32; // each text may need a read of the store

const batch_job_item &itemAt(const customer_batch &job, std::size_t position)
{
    return job.items[job.results[position]];
}

} // namespace

std::vector<content_place> placesOfPage(const customer_batch &job, std::size_t from)
{
    std::vector<content_place> places;
    std::uint64_t size = 0;
    for (std::size_t i = from; i < job.results.size() && places.size() < MaxPageResults; ++i) {
        const content_place &output = itemAt(job, i).output;
        size += output.size;
        if (!places.empty() && size > MaxPageBytes)
            break;
        places.push_back(output);
    }
    return places;
}

page_sizes sizesOfPage(const customer_batch &job, std::size_t from,
                       const std::vector<std::string> &texts)
{
    page_sizes sizes;
    sizes.results = texts.size();
    for (std::size_t i = 0; i < texts.size(); ++i) {
        const batch_job_item &item = itemAt(job, from + i);
        sizes.bytes += texts[i].size();
        sizes.recordedBytes += item.output.size;
        if (item.state == batch_item_state::Abandoned) {
            ++sizes.abandoned;
            sizes.abandonedBytes += texts[i].size();
        }
    }
    return sizes;
}

} // namespace tamarack
