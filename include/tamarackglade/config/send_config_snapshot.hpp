// Action: answers a peer's fetch.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/schema/wire_generated.h>

#include <memory>

namespace tamarack {

struct send_config_snapshot
{
    vm_id peer;
    std::shared_ptr<const schema::config_snapshot_message> message;
};

} // namespace tamarack
