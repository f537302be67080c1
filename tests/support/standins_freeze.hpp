// A pause of a whole stand-in: requests wait until it ends.
#pragma once

#include <boost/fiber/operations.hpp>

#include <chrono>

namespace tamarack::standins {

/// @brief Holds fibers until the freeze ends. Used on one thread.
class freeze_gate
{
public:
    /// @brief Freezes from now for a time; zero ends a freeze.
    void freezeFor(std::chrono::milliseconds time) { m_end = clock::now() + time; }

    /// @brief Waits in the calling fiber until no freeze is on.
    void pass() const
    {
        while (frozen())
            boost::this_fiber::sleep_for(PollPeriod);
    }

    /// @return whether a freeze is on
    [[nodiscard]] bool frozen() const { return clock::now() < m_end; }

private:
    using clock = std::chrono::steady_clock;
    static constexpr std::chrono::milliseconds PollPeriod{2};

    clock::time_point m_end;
};

} // namespace tamarack::standins
