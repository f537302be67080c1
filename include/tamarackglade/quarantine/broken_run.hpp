// A run that an upstream broke off.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/core/time.hpp>
#include <tamarackglade/quarantine/instance_hash.hpp>
#include <tamarackglade/quarantine/request_fingerprint.hpp>

#include <cstdint>
#include <vector>

namespace tamarack {

/// @brief A broken run as seen by one gateway. The upstream may have crashed, or the connection may
/// have failed for another reason.
struct broken_run
{
    vm_id reporter; // the gateway that saw it
    incarnation_number incarnation; // of the reporter
    std::uint64_t number = 0; // increases with each break that the reporter sees
    group_id group; // of the upstream
    // Shared parts of the prompt, in order. Empty if the run had delivered an event, since that
    // clears its parts of suspicion.
    std::vector<prompt_part_id> parts;
    request_fingerprint request;
    bool ofBatchItem = false;
    instance_hash instance; // of the upstream
    time_point sentAt{}; // by this gateway's clock, also for breaks that peers report
    time_point brokeAt{};
};

} // namespace tamarack
