// Pauses that double with each failure in a row.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <algorithm>

namespace tamarack {

/// @param first pause after the first failure
/// @param failures that came before the present one in a row
/// @return the pause, at most longest
inline duration doublingPause(duration first, duration longest, unsigned failures)
{
    duration pause = first;
    for (unsigned i = 0; i < failures && pause < longest; ++i)
        pause *= 2;
    return std::min(pause, longest);
}

} // namespace tamarack
