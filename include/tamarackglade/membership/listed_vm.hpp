// A row of the platform's VM list.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/membership/listed_state.hpp>
#include <tamarackglade/membership/vm_role.hpp>

#include <string>

namespace tamarack {

/// @brief One VM of the platform's list.
struct listed_vm
{
    vm_id vm;
    incarnation_number incarnation;
    vm_role role = vm_role::Entry;
    group_id group; // of upstreams; empty for entries
    zone_id zone;
    region_id region;
    std::string address; // IP number and port
    listed_state state = listed_state::Live;
};

} // namespace tamarack
