// Least-recently-used cache of batches.
#include <tamarackglade/entry/log_batch_cache.hpp>
#include <tamarackglade/entry/read_batch.hpp>

#include <algorithm>

namespace tamarack {

namespace {

constexpr std::size_t MaxCachedBatches = 32;

} // namespace

log_batch_cache::log_batch_cache(platform_client &platform, std::string stream)
    : m_platform(platform), m_stream(std::move(stream))
{
}

absl::StatusOr<log_batch_cache::shared_batch> log_batch_cache::fetch(log_offset offset)
{
    const auto found = std::find_if(m_cache.begin(), m_cache.end(), [&](const cached_batch &entry) {
        return entry.offset == offset;
    });
    if (found != m_cache.end()) {
        m_cache.splice(m_cache.begin(), m_cache, found);
        return found->batch;
    }
    auto batch = readBatch(m_platform, m_stream, offset);
    if (!batch.ok())
        return batch.status();
    auto shared = std::make_shared<const schema::log_batch_message>(std::move(*batch));
    insert(offset, shared);
    return shared;
}

void log_batch_cache::insert(log_offset offset, shared_batch batch)
{
    m_cache.push_front({offset, std::move(batch)});
    if (m_cache.size() > MaxCachedBatches)
        m_cache.pop_back();
}

} // namespace tamarack
