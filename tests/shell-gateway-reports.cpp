// Tests of what gateways' reports hold for other zones.
#include <tamarackglade/gateway/exchange/report_details.hpp>

#include <doctest/doctest.h>

#include <memory>
#include <vector>

using namespace tamarack;

namespace {

using report_list = std::vector<std::unique_ptr<schema::peer_report_message>>;

std::unique_ptr<schema::early_break_message> breakOf(std::uint64_t number, std::uint32_t age)
{
    auto message = std::make_unique<schema::early_break_message>();
    message->number = number;
    message->broke_age_ms = age;
    message->sent_age_ms = age + 10;
    return message;
}

std::unique_ptr<schema::peer_report_message> reportOf(const char *vm)
{
    auto report = std::make_unique<schema::peer_report_message>();
    report->vm = vm;
    return report;
}

} // namespace

TEST_CASE("what several gateways tell alike is listed once, with its lowest age")
{
    report_list reports;
    for (const char *vm : {"g1", "g2", "g3"}) {
        reports.push_back(reportOf(vm));
        const auto number = static_cast<std::uint32_t>(reports.size());
        reports.back()->sound_parts.emplace_back(7, number * 100);
        reports.back()->served_runs.emplace_back(8, number * 1'000);
        reports.back()->sound_requests.emplace_back(1, 2, number * 100);
    }
    mergeDetails(reports, 250);
    REQUIRE(reports.size() == 1);
    REQUIRE(reports[0]->sound_parts.size() == 1);
    CHECK(reports[0]->sound_parts[0].age_ms() == 100);
    REQUIRE(reports[0]->served_runs.size() == 1);
    CHECK(reports[0]->served_runs[0].sent_age_ms() == 1'000);
    REQUIRE(reports[0]->sound_requests.size() == 1);
    CHECK(reports[0]->sound_requests[0].age_ms() == 100);
}

TEST_CASE("breaks stay with the gateway that tells them, until they are old")
{
    report_list reports;
    reports.push_back(reportOf("g1"));
    reports.back()->breaks.push_back(breakOf(1, 900));
    reports.push_back(reportOf("g2"));
    reports.back()->breaks.push_back(breakOf(1, 900));
    reports.back()->breaks.push_back(breakOf(2, 100));
    reports.push_back(reportOf("g3"));
    reports.back()->leaving.emplace_back(5, 6);
    mergeDetails(reports, 700);
    REQUIRE(reports.size() == 2);
    CHECK(reports[0]->vm == "g2");
    REQUIRE(reports[0]->breaks.size() == 1);
    CHECK(reports[0]->breaks[0]->number == 2);
    CHECK(reports[1]->vm == "g3");
    CHECK(reports[1]->leaving.size() == 1);
}

TEST_CASE("nothing is left of nothing")
{
    report_list reports;
    mergeDetails(reports, 700);
    CHECK(reports.empty());
    reports.push_back(reportOf("g1"));
    reports.back()->sound_parts.emplace_back(7, 900);
    mergeDetails(reports, 700);
    CHECK(reports.empty());
}

TEST_CASE("ages grow by the time for which a report was kept")
{
    auto report = reportOf("g1");
    report->breaks.push_back(breakOf(1, 100));
    report->sound_parts.emplace_back(7, 50);
    report->served_runs.emplace_back(8, 60);
    report->sound_requests.emplace_back(1, 2, 70);
    report->upstream_rates.emplace_back(3, 4, 5.0, 80, 1, 1.0F);
    addAge(*report, 30);
    CHECK(report->breaks[0]->broke_age_ms == 130);
    CHECK(report->breaks[0]->sent_age_ms == 140);
    CHECK(report->sound_parts[0].age_ms() == 80);
    CHECK(report->served_runs[0].sent_age_ms() == 90);
    CHECK(report->sound_requests[0].age_ms() == 100);
    CHECK(report->upstream_rates[0].age_ms() == 110);
    CHECK(hasDetails(*report));
    CHECK_FALSE(hasDetails(*reportOf("g2")));
}
