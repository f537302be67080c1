// An upstream as it describes itself in the platform's store.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/core/time.hpp>

#include <cstdint>
#include <string>

namespace tamarack {

/// @brief One incarnation of an upstream.
struct live_upstream
{
    upstream_id id;
    incarnation_number incarnation; // differs for each start, also under the same id
    group_id group;
    std::string address; // ip:port; may be used again by another upstream later
    zone_id zone;
    unsigned slots = 1; // requests that it runs at once
    bool leaving = false; // takes no new work

    friend bool operator==(const live_upstream &, const live_upstream &) = default;
};

} // namespace tamarack
