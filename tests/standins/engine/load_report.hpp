// The engine's load as it reports it: late.
#pragma once

#include <tamarackglade/load/engine_model.hpp>

#include <deque>

namespace tamarack::standins {

/// @brief The load at one instant.
struct load_sample
{
    time_point when;
    engine_load load;
};

/// @brief Samples of the load; readers get the newest one that is at least a lag old.
class load_report
{
public:
    void setLag(duration lag) { m_lag = lag; }

    /// @brief Adds a sample.
    void add(time_point now, const engine_load &load)
    {
        m_samples.push_back({now, load});
        dropOld(now);
    }

    /// @return the sample that shows at now; an empty load if none is old enough
    [[nodiscard]] load_sample shown(time_point now)
    {
        dropOld(now);
        if (m_samples.empty() || m_samples.front().when + m_lag > now)
            return {};
        return m_samples.front();
    }

private:
    void dropOld(time_point now)
    {
        while (m_samples.size() > 1 && m_samples[1].when + m_lag <= now)
            m_samples.pop_front();
    }

    duration m_lag{};
    std::deque<load_sample> m_samples; // in order of time; the first is the one shown
};

} // namespace tamarack::standins
