// Measures the configuration's spread against the fleet's size; the table is for the docs.
#include <tamarackglade/report/config_measurement.hpp>

#include <doctest/doctest.h>

#include <vector>

using namespace tamarack;
using namespace std::chrono_literals;

TEST_CASE("spread of the configuration by fleet size")
{
    constexpr std::size_t Customers = 8;
    constexpr std::size_t TargetCustomers = 4600;
    std::vector<config_spread_cost> slopes;
    for (const std::size_t cutPercent : {0, 10}) {
        for (const std::size_t nodes : {10, 50, 100, 200, 400})
            slopes.push_back(measureConfigSpread(nodes, cutPercent, Customers));
    }
    slopes.push_back(measureConfigSpread(20, 10, TargetCustomers));
    MESSAGE(configSpreadCostTable(slopes));
    for (const config_spread_cost &slope : slopes) {
        CHECK(slope.keyPropagationTime < 5s);
        CHECK(slope.manifestPropagationTime < 11s);
        CHECK(slope.idleBytesPerSecond < 3000);
    }
}
