// A request that is refused because it crashes upstreams.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/quarantine/request_fingerprint.hpp>

#include <utility>

namespace tamarack {

/// @brief State of a request in quarantine, as exchanged between gateways and kept in the store.
struct quarantined_request
{
    request_fingerprint request;
    unsigned revision = 1; // increases with each change of trials or released
    unsigned trials = 0; // runs since the quarantine began
    time_point since{}; // start of the quarantine or of the last trial
    time_point usedAt{}; // last change, or last refusal at any gateway
    bool released = false; // kept so that older states don't return

    /// @return whether this state came after the other one
    [[nodiscard]] bool isNewerThan(const quarantined_request &other) const
    {
        return std::pair(revision, released) > std::pair(other.revision, other.released);
    }
};

} // namespace tamarack
