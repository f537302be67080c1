// An entry VM as the platform's VM list shows it.
#pragma once

#include <tamarackglade/core/ids.hpp>

namespace tamarack {

/// @brief One process generation of an entry VM. Its place is a hint and no part of its identity.
struct live_entry
{
    vm_id vm;
    incarnation_number generation;
    zone_id zone = {}; // empty if unknown, as in claims
    region_id region = {};

    friend bool operator==(const live_entry &a, const live_entry &b)
    {
        return a.vm == b.vm && a.generation == b.generation;
    }
};

} // namespace tamarack
