// The modelled engine's prefix cache: blocks of prompts, the least recently used evicted first.
#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// @brief A change of the cache's content.
struct cache_event
{
    enum class kind { Stored, Removed };

    kind what;
    std::uint64_t block; // its hash, which covers the whole prefix up to its end
};

/// @brief A set of block hashes of limited size.
class prefix_cache
{
public:
    explicit prefix_cache(std::uint64_t capacity) : m_capacity(capacity) { }

    /// @brief Looks a prompt's blocks up and marks the found prefix as used.
    /// @return how many leading blocks are cached; complexity O(blocks)
    std::size_t touchPrefix(const std::vector<std::uint64_t> &blocks);

    /// @brief Stores all blocks of a prompt, evicting others; appends the changes to events.
    void store(const std::vector<std::uint64_t> &blocks, std::vector<cache_event> &events);

    [[nodiscard]] std::size_t size() const { return m_byBlock.size(); }

private:
    std::uint64_t m_capacity; // blocks
    // Invariant: m_order and m_byBlock hold the same blocks, at most m_capacity.
    std::list<std::uint64_t> m_order; // most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_byBlock;
};

/// @return the hashes of a prompt's whole blocks, each chained to the one before
std::vector<std::uint64_t> promptBlocks(std::string_view prompt, std::uint32_t blockTokens);

} // namespace tamarack
