// Prefix cache of the engine model, with least recently used eviction of prompt blocks.
#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// @brief A block that was stored or removed.
struct cache_event
{
    enum class kind { Stored, Removed };

    kind what;
    std::uint64_t block; // hash of the prefix up to the end of the block
};

/// @brief A set of block hashes of limited size.
class prefix_cache
{
public:
    explicit prefix_cache(std::uint64_t capacity) : m_capacity(capacity) { }

    /// @brief Looks up the blocks of a prompt and marks the cached prefix as most recently used.
    /// @return the number of leading blocks that are cached; complexity O(blocks)
    std::size_t touchPrefix(const std::vector<std::uint64_t> &blocks);

    /// @brief Stores all blocks of a prompt, evicts others if needed and appends the changes to
    /// events.
    void store(const std::vector<std::uint64_t> &blocks, std::vector<cache_event> &events);

    [[nodiscard]] std::size_t size() const { return m_byBlock.size(); }

private:
    std::uint64_t m_capacity; // in blocks
    // Invariant: m_order and m_byBlock hold the same blocks, at most m_capacity.
    std::list<std::uint64_t> m_order; // most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_byBlock;
};

/// @return the hashes of the complete blocks of a prompt, each chained to the previous one
std::vector<std::uint64_t> promptBlocks(std::string_view prompt, std::uint32_t blockTokens);

} // namespace tamarack
