// Action: sends a frame to a connected process.
#pragma once

#include <tamarackglade/gate/connection_id.hpp>
#include <tamarackglade/gate/side_frame.hpp>

namespace tamarack {

struct send_frame
{
    connection_id connection;
    side_frame frame;
};

} // namespace tamarack
