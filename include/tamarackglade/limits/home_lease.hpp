// The lease by which a home may lend only while its successor agrees.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/limits/limit_options.hpp>
#include <tamarackglade/schema/wire_generated.h>

#include <map>
#include <optional>

namespace tamarack {

/// @brief The home's side of the lease, for one epoch.
class home_lease
{
public:
    explicit home_lease(const limit_options &options) : m_options(&options) { }

    /// @brief Forgets all acknowledgements; the lease begins again.
    void restart(time_point now);

    /// @return the number of a ping sent now
    std::uint64_t sendPing(time_point now);

    /// @brief Takes in the acknowledgement of a ping of this epoch.
    void acknowledge(std::uint64_t sequence);

    [[nodiscard]] bool isHeld(time_point now) const { return m_heldUntil && now < *m_heldUntil; }
    [[nodiscard]] bool isPingDue(time_point now) const { return now >= m_nextPingAt; }

    /// @return whether the successor has been silent for too long
    [[nodiscard]] bool isSuccessorSilent(time_point now) const
    {
        return now >= m_lastAcknowledgedPingAt + m_options->successorTimeout;
    }

private:
    const limit_options *m_options;
    std::map<std::uint64_t, time_point>
        m_unacknowledgedPings; // unanswered pings that could still extend the lease
    std::uint64_t m_sequence = 0;
    std::optional<time_point> m_heldUntil;
    time_point m_lastAcknowledgedPingAt; // sending of the last acknowledged ping, else the restart
    time_point m_nextPingAt;
};

} // namespace tamarack
