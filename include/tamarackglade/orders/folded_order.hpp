// An order record of any VM, as a side reads it.
#pragma once

#include <tamarackglade/orders/upstream_order.hpp>

#include <cstdint>

namespace tamarack {

struct folded_order
{
    vm_id vm;
    upstream_order order;
    std::uint64_t writtenAtSeconds = 0; // the operator's wall clock
};

} // namespace tamarack
