// A running attempt of an item.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/jobs/item_key.hpp>

#include <cstdint>

namespace tamarack {

struct running_attempt
{
    item_key item;
    upstream_id upstream;
    bool alone = false; // no other batch item runs on the upstream meanwhile
    std::uint32_t number = 0; // sequence number of the attempt within item and epoch, from 1
    time_point startedAt{};
};

} // namespace tamarack
