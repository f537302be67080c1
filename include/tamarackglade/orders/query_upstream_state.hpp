// Action: ask the upstream which orders are in force.
#pragma once

namespace tamarack {

struct query_upstream_state
{
};

} // namespace tamarack
