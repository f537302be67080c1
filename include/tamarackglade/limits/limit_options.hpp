// The settings of the fleet-wide rate limits.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/limits/limit_mutation.hpp>

#include <cstdint>

namespace tamarack {

/// @brief Settings; every entry of a fleet must use the same partitions, leaseDuration,
/// loanLifetime and clockError.
struct limit_options
{
    /// Number of limit partitions.
    std::uint32_t partitions = 16;
    /// A home lends for this long after it sent the last ping that its successor acknowledged.
    duration leaseDuration = std::chrono::milliseconds(500);
    duration pingInterval = std::chrono::milliseconds(100);
    /// A home chooses another successor after this long without an acknowledgement.
    duration successorTimeout = std::chrono::milliseconds(250);
    /// How long a silent VM is not chosen as a successor.
    duration suspicionDuration = std::chrono::seconds(10);
    /// A loan's lifetime, from the time when the borrower sent its request.
    duration loanLifetime = std::chrono::milliseconds(400);
    /// Maximum time that a request waits for a token before it is refused.
    duration maxWait = std::chrono::milliseconds(300);
    /// A loan request without an answer is sent again after this long.
    duration loanRequestTimeout = std::chrono::milliseconds(60);
    /// An idle borrower reports and returns tokens after this long.
    duration returnDelay = std::chrono::milliseconds(20);
    /// Borrowers request tokens for their expected use over this time, besides those for waiting
    /// requests.
    duration prefetchHorizon = std::chrono::milliseconds(40);
    /// Initial and maximum back-off between two claims of one partition.
    duration claimBackoff = std::chrono::milliseconds(300);
    duration maxClaimBackoff = std::chrono::seconds(5);
    /// Claims by entries other than the successor are delayed by this times (rank + 1).
    duration claimStagger = std::chrono::milliseconds(300);
    /// A home claims again this often, so that its record outlives the log's retention.
    duration renewInterval = std::chrono::hours(1);
    /// Interval at which the homes are requested from a peer while the log can't be read.
    duration homesRequestInterval = std::chrono::milliseconds(500);
    /// A live VM is in the VM list at most this long after its start.
    duration vmListLag = std::chrono::seconds(60);
    /// Interval of the checks of leases and claims.
    duration pollInterval = std::chrono::milliseconds(50);
    /// Maximum relative error of a VM's clock rate; two clocks differ by at most twice this.
    double clockError = 0.005;
    limit_mutation mutation = limit_mutation::None;

    /// @return how long to wait on this clock so that d has certainly passed on any other one
    [[nodiscard]] duration stretched(duration d) const
    {
        const double factor = (1 + clockError) / (1 - clockError);
        return fromSeconds(toSeconds(d) * factor) + std::chrono::microseconds(10);
    }
};

} // namespace tamarack
