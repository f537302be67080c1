// Time of the last success of each prompt part, in bounded memory.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/quarantine/part_hash.hpp>

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace tamarack {

/// @brief Keeps at least the maxParts parts that succeeded last, and at most twice as many.
class success_history
{
public:
    explicit success_history(std::size_t maxParts) : m_maxParts(maxParts) { }

    /// @brief Records a success; an older one than the recorded one is ignored. O(1).
    void add(part_hash part, time_point at);
    /// @return when the part last succeeded, or nullopt if that isn't known
    [[nodiscard]] std::optional<time_point> find(part_hash part) const;

private:
    using generation = std::unordered_map<part_hash, time_point>;

    std::size_t m_maxParts;
    // New entries go into m_current. When it is full it replaces m_previous.
    generation m_current;
    generation m_previous;
};

} // namespace tamarack
