// An attempt that was started and has not ended.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/jobs/item_key.hpp>

#include <cstdint>

namespace tamarack {

struct running_attempt
{
    item_key item;
    upstream_id upstream;
    bool alone = false;
    std::uint32_t number = 0; // counts the tries of the item in this epoch
    time_point startedAt{};
};

} // namespace tamarack
