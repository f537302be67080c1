// Tests of the rate limits' parts, and of the fleet under single faults.
#include "support/limits_fleet.hpp"

#include <doctest/doctest.h>

using namespace tamarack;
using namespace tamarack::test;

namespace {

const customer_id Large("large");
const customer_id Small("small");

limit_options fleetOptions()
{
    limit_options options;
    options.partitions = 4;
    return options;
}

} // namespace

TEST_CASE("no refusals within the rate without faults")
{
    for (const auto &weights : {std::vector<double>{1, 0, 0}, {0.9, 0.05, 0.05}, {1, 1, 1}}) {
        limits_fleet fleet(3, fleetOptions(), 20261203);
        fleet.setRate(Large, {100, 100});
        fleet.setRate(Small, {10, 20});
        fleet.advance(15s);
        fleet.load(Large, 85, weights, fleet.now() + 60s);
        fleet.load(Small, 50, {1, 1, 1}, fleet.now() + 60s);
        fleet.advance(61s);
        const auto &counts = fleet.counts().at(Large);
        MESSAGE("offered " << counts.offered << " within " << counts.within << " refused "
                           << counts.refused << " messages " << fleet.messages() << " appends "
                           << fleet.appends());
        const auto &small = fleet.counts().at(Small);
        MESSAGE("small offered " << small.offered << " within " << small.within << " admitted "
                           << small.admitted);
        CHECK(counts.refused == 0);
        CHECK(fleet.overAdmitted() == 0);
    }
}
