// The lease that lets a home lend only while its successor acknowledges its pings.
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

    /// @brief Drops all acknowledgements and restarts the lease.
    void restart(time_point now);

    /// @brief Records a ping that is sent now.
    /// @return its sequence number
    std::uint64_t sendPing(time_point now);

    /// @brief Extends the lease by the acknowledgement of a ping of this epoch.
    void acknowledge(std::uint64_t sequence);

    [[nodiscard]] bool isHeld(time_point now) const { return m_heldUntil && now < *m_heldUntil; }
    /// @return whether the successor acknowledged a ping of this epoch
    [[nodiscard]] bool wasAcknowledged() const { return m_heldUntil.has_value(); }
    [[nodiscard]] bool isPingDue(time_point now) const { return now >= m_nextPingAt; }

    /// @return whether no ping sent within the last successorTimeout was acknowledged
    [[nodiscard]] bool isSuccessorSilent(time_point now) const
    {
        return now >= m_lastAcknowledgedPingAt + m_options->successorTimeout;
    }

private:
    const limit_options *m_options;
    std::map<std::uint64_t, time_point>
        m_unacknowledgedPings; // those that could still extend the lease
    std::uint64_t m_sequence = 0;
    std::optional<time_point> m_heldUntil;
    time_point m_lastAcknowledgedPingAt; // when it was sent; before the first, the restart
    time_point m_nextPingAt;
};

} // namespace tamarack
