// A prompt part whose requests are refused because it crashes upstreams.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/core/time.hpp>

#include <utility>

namespace tamarack {

/// @brief State of a part, as exchanged between gateways and kept in the store.
///
/// Requests with the part are refused until since + length. After that one trial request at a time
/// is sent: its first event releases the part, another crash starts the next offence.
struct quarantined_part
{
    group_id group; // of the upstreams that crash
    prompt_part_id part;
    unsigned offences = 1; // how often the part was quarantined
    time_point since{}; // start of the last offence
    duration length{};
    bool released = false; // harmless by now; kept so that older states don't return

    [[nodiscard]] time_point trialAt() const { return since + length; }
    /// @return whether this state came after the other one
    [[nodiscard]] bool isNewerThan(const quarantined_part &other) const
    {
        return std::pair(offences, released) > std::pair(other.offences, other.released);
    }
};

} // namespace tamarack
