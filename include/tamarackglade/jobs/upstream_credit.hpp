// The number of additional batch items that an upstream accepts now.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <cstdint>

namespace tamarack {

struct upstream_credit
{
    model_id model;
    std::uint32_t items = 0;
};

} // namespace tamarack
