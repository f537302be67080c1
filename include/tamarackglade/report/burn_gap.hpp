// The token gaps of one streamed answer, judged by one objective.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/report/burn_count.hpp>

#include <string>

namespace tamarack {

struct burn_gap
{
    std::string objective;
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
