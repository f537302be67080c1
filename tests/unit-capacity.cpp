// Tests of the capacity measurements: the linear fit, the tables, and the results that don't depend
// on the machine.
#include <tamarackglade/report/capacity_measurements.hpp>

#include <doctest/doctest.h>
#include <malloc.h>

#include <algorithm>

using namespace tamarack;

namespace {

measurement_hooks realHooks()
{
    return {[] { return duration(std::chrono::steady_clock::now().time_since_epoch()); },
            [] { return mallinfo2().uordblks; }};
}

capacity_table tableOf(const std::string &name)
{
    const auto all = capacityMeasurements();
    const auto found = std::find_if(
        all.begin(), all.end(), [&](const auto &measurement) { return measurement.name == name; });
    REQUIRE(found != all.end());
    return found->measure(realHooks());
}

} // namespace

TEST_CASE("linear fit")
{
    const std::vector<double> x{1, 2, 4};
    const auto exact = linear_fit::through(x, std::vector<double>{5, 7, 11});
    CHECK(exact.base == doctest::Approx(3));
    CHECK(exact.slope == doctest::Approx(2));
    CHECK(exact.residual == doctest::Approx(0));
    const auto bent = linear_fit::through(x, std::vector<double>{5, 7, 20});
    CHECK(bent.residual > 0.5);
    const auto flat = linear_fit::through(std::vector<double>{2, 2}, std::vector<double>{1, 3});
    CHECK(flat.slope == 0);
    CHECK(flat.base == doctest::Approx(2));
}

TEST_CASE("tables have rows, a fit for each column and a text")
{
    for (const char *name : {"limits-leases", "limits-watch", "routing-choose", "membership-select",
                             "membership-list", "keys-check", "gate-calls", "gate-reports"}) {
        const auto table = tableOf(name);
        CHECK(table.name == name);
        CHECK(table.rows.size() >= 3);
        for (const auto &row : table.rows)
            CHECK(row.size() == table.columns.size());
        CHECK(table.json()["fits"].size() == table.columns.size() - 1);
        CHECK(table.text().find(table.columns.back()) != std::string::npos);
    }
}

TEST_CASE("messages per limit partition and per request")
{
    const auto leases = tableOf("limits-leases");
    CHECK(leases.fit(1).slope == doctest::Approx(20)); // ten pings and ten answers per second
    const auto requests = tableOf("limits-requests");
    CHECK(requests.fit(1).slope <= 3.2); // request, grant and settlement of tokens
    for (const auto &row : requests.rows)
        CHECK(row[4] == 0); // refused
}
