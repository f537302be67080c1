// Where the line of one item lies.
#pragma once

#include <tamarackglade/jobs/record_reference.hpp>

namespace tamarack {

/// @brief The file_chunk record that holds an item's line, and the line's index in the chunk.
struct input_reference
{
    record_reference chunk;
    std::uint32_t line = 0;
};

} // namespace tamarack
