// Reference to the input line of one item.
#pragma once

#include <tamarackglade/jobs/record_reference.hpp>

namespace tamarack {

/// @brief The file_chunk record that holds an item's line, and the index of the line in the chunk.
struct input_reference
{
    record_reference chunk;
    std::uint32_t line = 0;
};

} // namespace tamarack
