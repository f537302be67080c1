// Token gaps of one streamed answer.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/report/burn_count.hpp>

#include <string>

namespace tamarack {

/// @brief Counts the times between tokens of one answer against the threshold of one objective.
struct burn_gap
{
    std::string objective; // its name in the manifest
    duration threshold{}; // a longer gap is bad
    burn_count count;

    void add(duration gap)
    {
        if (gap <= threshold)
            ++count.good;
        else
            ++count.bad;
    }
};

} // namespace tamarack
