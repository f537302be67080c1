// How many batch items an upstream would take now.
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
