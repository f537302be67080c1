// What the check of an input file found.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <cstdint>

namespace tamarack {

struct input_summary
{
    std::uint32_t itemCount = 0;
    model_id model; // of every line
};

} // namespace tamarack
