// An entry VM as listed in the platform's VM list.
#pragma once

#include <tamarackglade/core/ids.hpp>

namespace tamarack {

/// @brief One process incarnation of an entry VM. Zone and region are hints and no part of its
/// identity.
struct live_entry
{
    vm_id vm;
    incarnation_number incarnation;
    zone_id zone = {}; // empty if unknown, as in claims
    region_id region = {};

    friend bool operator==(const live_entry &a, const live_entry &b)
    {
        return a.vm == b.vm && a.incarnation == b.incarnation;
    }
};

} // namespace tamarack
