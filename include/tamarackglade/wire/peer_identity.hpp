// Who is at the other end of a wire connection.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/schema/wire_generated.h>

namespace tamarack {

/// @brief A process's identity, proved by the fleet secret.
struct peer_identity
{
    vm_id vm;
    tamarack::incarnation_number incarnation;
    schema::vm_role role = schema::vm_role::Entry;
    zone_id zone;
};

} // namespace tamarack
