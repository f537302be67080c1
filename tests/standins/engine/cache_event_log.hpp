// The engine's cache events as it publishes them: late, and with gaps.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/load/prefix_cache.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <vector>

namespace tamarack::standins {

/// @brief Numbers the events; lost ones leave a gap in the numbers.
class cache_event_log
{
public:
    cache_event_log(duration lag, std::uint64_t gap) : m_lag(lag), m_gap(gap) { }

    /// @brief Adds the cache's changes.
    void add(time_point now, const std::vector<cache_event> &events)
    {
        for (const cache_event &event : events) {
            const std::uint64_t number = ++m_lastNumber;
            if (m_gap == 0 || number % m_gap != 0)
                m_events.push_back({number, now, event});
            if (m_events.size() > MaxKept)
                m_events.pop_front();
        }
    }

    /// @return the published events from a number on
    [[nodiscard]] nlohmann::json show(time_point now, std::uint64_t from) const
    {
        nlohmann::json shown = nlohmann::json::array();
        std::uint64_t next = from;
        for (const numbered_event &entry : m_events) {
            if (entry.number < from || entry.when + m_lag > now)
                continue;
            const bool stored = entry.event.what == cache_event::kind::Stored;
            shown.push_back({{"seq", entry.number},
                             {"kind", stored ? "stored" : "removed"},
                             {"block", entry.event.block}});
            next = entry.number + 1;
        }
        return {{"events", shown}, {"next", next}};
    }

private:
    static constexpr std::size_t MaxKept = 100'000; // events

    struct numbered_event
    {
        std::uint64_t number;
        time_point when;
        cache_event event;
    };

    duration m_lag;
    std::uint64_t m_gap; // every m_gap-th event is lost; 0 for none
    std::uint64_t m_lastNumber = 0;
    std::deque<numbered_event> m_events; // in order of number
};

} // namespace tamarack::standins
