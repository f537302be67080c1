// Action: ask the upstream which orders are in force.
#pragma once

namespace tamarack {

struct ask_upstream
{
};

} // namespace tamarack
