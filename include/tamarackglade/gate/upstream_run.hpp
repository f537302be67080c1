// One run of an attempt at the upstream. A batch attempt that yielded runs again later.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <cstdint>
#include <tuple>

namespace tamarack {

struct upstream_run
{
    attempt_id attempt;
    std::uint32_t number = 1; // counts the runs of the attempt from 1

    friend bool operator==(const upstream_run &, const upstream_run &) = default;
    friend bool operator<(const upstream_run &a, const upstream_run &b)
    {
        return std::tie(a.attempt.value(), a.number) < std::tie(b.attempt.value(), b.number);
    }
};

} // namespace tamarack
