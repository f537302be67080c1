// An order to any VM, read from the log.
#pragma once

#include <tamarackglade/orders/upstream_order.hpp>

#include <cstdint>

namespace tamarack {

struct folded_order
{
    vm_id vm;
    upstream_order order;
    std::uint64_t writtenAtSeconds = 0; // Unix time by the operator's clock
};

} // namespace tamarack
