// Action: queries the upstream for the orders in force.
#pragma once

namespace tamarack {

struct query_upstream_state
{
};

} // namespace tamarack
