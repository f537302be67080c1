// Implements least recently used eviction and the chained hashes of blocks.
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/load/prefix_cache.hpp>

namespace tamarack {

std::size_t prefix_cache::touchPrefix(const std::vector<std::uint64_t> &blocks)
{
    std::size_t found = 0;
    for (const std::uint64_t block : blocks) {
        const auto entry = m_byBlock.find(block);
        if (entry == m_byBlock.end())
            break;
        m_order.splice(m_order.begin(), m_order, entry->second);
        ++found;
    }
    return found;
}

void prefix_cache::store(const std::vector<std::uint64_t> &blocks, std::vector<cache_event> &events)
{
    // Stores from the last block to the first, so that a prefix is evicted after its continuations.
    for (auto block = blocks.rbegin(); block != blocks.rend() && m_capacity > 0; ++block) {
        const auto entry = m_byBlock.find(*block);
        if (entry != m_byBlock.end()) {
            m_order.splice(m_order.begin(), m_order, entry->second);
            continue;
        }
        if (m_byBlock.size() >= m_capacity) {
            events.push_back({cache_event::kind::Removed, m_order.back()});
            m_byBlock.erase(m_order.back());
            m_order.pop_back();
        }
        m_order.push_front(*block);
        m_byBlock.emplace(*block, m_order.begin());
        events.push_back({cache_event::kind::Stored, *block});
    }
}

std::vector<std::uint64_t> promptBlocks(std::string_view prompt, std::uint32_t blockTokens)
{
    constexpr std::size_t BytesPerToken = 4;
    const std::size_t blockBytes = BytesPerToken * blockTokens;
    std::vector<std::uint64_t> blocks;
    std::uint64_t previous = 0;
    while (blockBytes > 0 && prompt.size() >= blockBytes) {
        previous = stableHash(prompt.substr(0, blockBytes), previous);
        blocks.push_back(previous);
        prompt.remove_prefix(blockBytes);
    }
    return blocks;
}

} // namespace tamarack
