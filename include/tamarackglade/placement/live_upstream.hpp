// An upstream as described by its own record in the platform's store.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/core/time.hpp>

#include <cstdint>
#include <string>

namespace tamarack {

/// @brief One incarnation of an upstream: its address, zone and capacity.
struct live_upstream
{
    upstream_id id;
    incarnation_number incarnation; // differs between starts under the same id
    group_id group;
    std::string address; // ip:port; another upstream may use it later
    zone_id zone;
    software_version version; // empty if its record names none
    unsigned slots = 1; // number of requests that it runs concurrently
    bool leaving = false; // accepts no new work
    // How much longer it warms up, when its record was read: after its start, or at any later time.
    // It accepts fewer requests per second until then.
    duration warmUp = duration::zero();

    friend bool operator==(const live_upstream &, const live_upstream &) = default;
};

} // namespace tamarack
