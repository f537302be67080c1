// The result of a successful check of an input file.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <cstdint>

namespace tamarack {

struct input_summary
{
    std::uint32_t itemCount = 0;
    model_id model; // the same on every line
};

} // namespace tamarack
