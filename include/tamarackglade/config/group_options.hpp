// Section [group NAME] of the manifest: a group of equal upstreams.
#pragma once

#include <tamarackglade/config/group_kind.hpp>
#include <tamarackglade/core/ids.hpp>

namespace tamarack {

struct group_options
{
    group_id id;
    group_kind kind = group_kind::Engine;
    bool checksOrders = false; // whether its upstreams refuse an old fencing number themselves
};

} // namespace tamarack
