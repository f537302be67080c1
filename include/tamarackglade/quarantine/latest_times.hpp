// The latest time that was recorded for each key, in bounded memory.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <unordered_map>
#include <utility>

namespace tamarack {

/// @brief Keeps at least the maxKeys keys that were recorded last, and at most twice as many.
template <class Key>
class latest_times
{
public:
    explicit latest_times(std::size_t maxKeys) : m_maxKeys(maxKeys) { }

    /// @brief Records a time; one before the recorded time is ignored. O(1).
    void add(const Key &key, time_point at)
    {
        const time_point latest = std::max(at, find(key).value_or(at));
        if (m_current.size() >= m_maxKeys && !m_current.contains(key))
            m_previous = std::exchange(m_current, {});
        m_current[key] = latest;
    }

    /// @return the latest time of the key, or nullopt if it isn't known
    [[nodiscard]] std::optional<time_point> find(const Key &key) const
    {
        for (const generation *each : {&m_current, &m_previous}) {
            const auto found = each->find(key);
            if (found != each->end())
                return found->second;
        }
        return std::nullopt;
    }

private:
    using generation = std::unordered_map<Key, time_point>;

    std::size_t m_maxKeys;
    // New entries go into m_current. When it is full it replaces m_previous.
    generation m_current;
    generation m_previous;
};

} // namespace tamarack
