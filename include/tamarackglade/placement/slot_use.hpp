// Number of an upstream's slots in use, by class of work.
#pragma once

#include <tamarackglade/placement/work_class.hpp>

namespace tamarack {

/// @brief Numbers of requests running at one upstream.
struct slot_use
{
    unsigned online = 0;
    unsigned batch = 0;

    [[nodiscard]] unsigned total() const { return online + batch; }
    friend bool operator==(const slot_use &, const slot_use &) = default;
    unsigned &of(work_class work) { return work == work_class::Online ? online : batch; }
};

} // namespace tamarack
