// Tests of the burn report: windows, error budgets, exhaustion, and which refusals count against
// the fleet.
#include <tamarackglade/config/parse_manifest.hpp>
#include <tamarackglade/report/burn_counter.hpp>
#include <tamarackglade/report/burn_page.hpp>
#include <tamarackglade/report/burn_report.hpp>
#include <tamarackglade/report/burn_text.hpp>
#include <tamarackglade/report/rate_replay.hpp>

#include <doctest/doctest.h>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t NowS = 1'000'000'000;
constexpr std::uint64_t HourS = 3'600;

constexpr const char *ManifestText = R"(
[fleet]
name = burn
partitions = 2

[group engines]
kind = engine

[model drafter]
group = engines
version = 1
max-tokens = 64

[customer shire]
rate-per-second = 10
burst = 20
weight = 1
batch = yes

[customer depot]
rate-per-second = 10
burst = 20
weight = 1
batch = yes

[objective availability]
kind = availability
class = online
target = 99

[objective first-token]
kind = ttft
class = online
target = 90
threshold = 360ms

[objective gap]
kind = token-gap
class = online
customer = depot
target = 95
threshold = 76ms

[objective due]
kind = batch-due
class = batch
target = 99

[objective refusals]
kind = refusals
class = online
target = 99.9
)";

manifest burnManifest()
{
    const manifest_result result = parseManifest(ManifestText);
    REQUIRE(result.ok());
    return *result.parsed;
}

// A record as an entry appends it, for an interval of 30 s that ends at endS.
schema::log_batch_message recordOf(const burn_interval &interval, std::uint64_t sequence,
                                   std::uint64_t endS, const std::string &vm = "entry-1")
{
    schema::burn_counts_message record;
    record.vm = vm;
    record.incarnation = 1;
    record.sequence = sequence;
    record.interval_start_s = endS - 30;
    record.interval_s = 30;
    record.counts_json = interval.toJson();
    schema::log_batch_message batch;
    addRecord(batch, record);
    return batch;
}

burn_interval availabilityOf(std::uint64_t good, std::uint64_t bad,
                             const std::string &customer = "shire")
{
    burn_interval interval;
    interval.counts[{customer_id(customer), objective_class::Online, "availability"}] = {good, bad};
    return interval;
}

const burn_row *findRow(const burn_summary &summary, const std::string &objective,
                        const std::string &customer)
{
    for (const burn_row &row : summary.rows) {
        if (row.objective.name == objective && row.customer.value() == customer)
            return &row;
    }
    return nullptr;
}

burn_summary summaryOf(const manifest &manifest, const burn_fold &fold,
                       burn_mutation mutation = burn_mutation::None)
{
    burn_report report(manifest, mutation);
    report.addCounts(fold);
    return report.summarize(NowS);
}

// One record in each window, with 1, 2, 4 and 8 bad events of 100 from the shortest to the longest.
burn_summary windowsSummary(burn_mutation mutation)
{
    static const manifest Manifest = burnManifest();
    burn_fold fold;
    fold.apply(recordOf(availabilityOf(92, 8), 1, NowS - 24 * HourS));
    fold.apply(recordOf(availabilityOf(96, 4), 2, NowS - 3 * HourS));
    fold.apply(recordOf(availabilityOf(98, 2), 3, NowS - 600));
    fold.apply(recordOf(availabilityOf(99, 1), 4, NowS - 10));
    return summaryOf(Manifest, fold, mutation);
}

bool windowsHold(const burn_summary &summary)
{
    const burn_row *row = findRow(summary, "availability", "shire");
    REQUIRE(row != nullptr);
    const std::array<burn_count, 4> expected{{{99, 1}, {197, 3}, {293, 7}, {385, 15}}};
    for (std::size_t i = 0; i < expected.size(); ++i) {
        if (!(row->windows[i].count == expected[i]))
            return false;
    }
    return true;
}

// 30 s of requests at five times the rate, spread over two entries, admitted as by one exact token
// bucket.
burn_fold excessFold()
{
    burn_fold fold;
    for (int entry = 0; entry < 2; ++entry) {
        burn_interval interval;
        auto &seconds = interval.seconds[customer_id("shire")];
        for (std::uint64_t i = 0; i < 30; ++i) {
            const std::uint64_t admitted = i == 0 ? 15 : 5;
            seconds[NowS - 60 + i] = {admitted, 25 - admitted};
        }
        fold.apply(recordOf(interval, 1, NowS - 30, entry == 0 ? "entry-1" : "entry-2"));
    }
    return fold;
}

std::uint64_t badRefusals(const burn_summary &summary)
{
    const burn_row *row = findRow(summary, "refusals", "shire");
    return row == nullptr ? 0 : row->windows[0].count.bad;
}

batch_job jobOf(std::uint32_t items, std::uint32_t done, std::uint64_t createdAtS,
                std::uint64_t endedAtS)
{
    batch_job job;
    job.customer = customer_id("shire");
    job.createdAtS = createdAtS;
    job.completionWindowS = 1'000;
    job.endedAtS = endedAtS;
    job.results.resize(items);
    job.succeeded = done;
    return job;
}

} // namespace

TEST_CASE("each window holds the intervals that end in it")
{
    CHECK(windowsHold(windowsSummary(burn_mutation::None)));
    CHECK_FALSE(windowsHold(windowsSummary(burn_mutation::IgnoreWindows)));
}

TEST_CASE("burn rate, budget and exhaustion follow from the counts")
{
    const burn_summary summary = windowsSummary(burn_mutation::None);
    const burn_row *row = findRow(summary, "availability", "shire");
    REQUIRE(row != nullptr);
    // 1% may be bad. 3 of 200 in the last hour are 1.5 times that, 15 of 400 in 3 days 3.75 times.
    CHECK(row->windows[1].burnRate == doctest::Approx(1.5));
    CHECK(row->windows[3].burnRate == doctest::Approx(3.75));
    CHECK(row->budgetLeft == doctest::Approx(-2.75));
    REQUIRE(row->exhaustionS);
    CHECK(*row->exhaustionS == 0);
}

TEST_CASE("the remaining budget is exhausted at the burn rate of the last hour")
{
    const manifest manifest = burnManifest();
    burn_fold fold;
    fold.apply(recordOf(availabilityOf(9'900, 0), 1, NowS - 24 * HourS));
    fold.apply(recordOf(availabilityOf(98, 2), 2, NowS - 600));
    const burn_summary summary = summaryOf(manifest, fold);
    const burn_row *row = findRow(summary, "availability", "shire");
    REQUIRE(row != nullptr);
    // 2 of 10,000 bad use 2% of the budget; 2 of 100 in the last hour burn at twice the rate.
    CHECK(row->budgetLeft == doctest::Approx(0.98));
    REQUIRE(row->exhaustionS);
    CHECK(*row->exhaustionS == doctest::Approx(0.98 * 259'200 / 2));
}

TEST_CASE("an objective without bad events is never exhausted")
{
    const manifest manifest = burnManifest();
    burn_fold fold;
    fold.apply(recordOf(availabilityOf(100, 0), 1, NowS - 10));
    const burn_summary summary = summaryOf(manifest, fold);
    const burn_row *row = findRow(summary, "availability", "shire");
    REQUIRE(row != nullptr);
    CHECK(row->budgetLeft == 1);
    CHECK_FALSE(row->exhaustionS);
}

TEST_CASE("an objective for all customers has a row for each customer and one for all together")
{
    const manifest manifest = burnManifest();
    burn_fold fold;
    fold.apply(recordOf(availabilityOf(10, 0), 1, NowS - 10));
    fold.apply(recordOf(availabilityOf(5, 5, "depot"), 1, NowS - 10, "entry-2"));
    const burn_summary summary = summaryOf(manifest, fold);
    for (const auto &[customer, expected] :
         std::map<std::string, burn_count>{{"", {15, 5}}, {"depot", {5, 5}}, {"shire", {10, 0}}}) {
        const burn_row *row = findRow(summary, "availability", customer);
        REQUIRE(row != nullptr);
        CHECK(row->windows[0].count == expected);
    }
}

TEST_CASE("a record that stands in the log several times counts once")
{
    const manifest manifest = burnManifest();
    for (const burn_mutation mutation : {burn_mutation::None, burn_mutation::CountRepeats}) {
        burn_fold fold(mutation);
        fold.apply(recordOf(availabilityOf(9, 1), 1, NowS - 10));
        fold.apply(recordOf(availabilityOf(9, 1), 1, NowS - 10));
        fold.apply(recordOf(availabilityOf(9, 1), 1, NowS - 10, "entry-2"));
        const burn_summary summary = summaryOf(manifest, fold);
        const burn_row *row = findRow(summary, "availability", "shire");
        REQUIRE(row != nullptr);
        const bool once = row->windows[0].count == burn_count{18, 2};
        CHECK(once == (mutation == burn_mutation::None));
    }
}

TEST_CASE("refusals above a customer's rate don't count against the fleet")
{
    const manifest manifest = burnManifest();
    // The bucket admits a burst of 20 and then 10 per second; the fleet admitted exactly that.
    CHECK(badRefusals(summaryOf(manifest, excessFold())) == 0);
    CHECK(badRefusals(summaryOf(manifest, excessFold(), burn_mutation::CountOwnExcess)) > 0);
}

TEST_CASE("refusals within the rate count against the refusals and availability objectives")
{
    const manifest manifest = burnManifest();
    burn_interval interval;
    auto &seconds = interval.seconds[customer_id("shire")];
    // The first second uses up the burst. In the next, 8 requests arrive at a rate of 10 per
    // second, and 5 of them are refused.
    seconds[NowS - 20] = {30, 0};
    seconds[NowS - 19] = {3, 5};
    burn_fold fold;
    fold.apply(recordOf(interval, 1, NowS - 10));
    const burn_summary summary = summaryOf(manifest, fold);
    CHECK(badRefusals(summary) == 5);
    const burn_row *row = findRow(summary, "availability", "shire");
    REQUIRE(row != nullptr);
    CHECK(row->windows[0].count.bad == 5);
}

TEST_CASE("unused tokens of a bucket are limited to the burst")
{
    const manifest manifest = burnManifest();
    const customer_options &shire = *manifest.customer(customer_id("shire"));
    std::map<std::uint64_t, admission_counts> seconds;
    for (std::uint64_t i = 0; i < 60; ++i)
        seconds[NowS + i] = {1, 0};
    seconds[NowS + 60] = {25, 100};
    const auto within = refusalsWithinRate(seconds, shire);
    REQUIRE(within.size() == 1);
    CHECK(within.at(NowS + 60) == 5); // 20 saved and 10 new tokens, 25 used
}

TEST_CASE("a short excess across two seconds counts at most two seconds of the rate as within it")
{
    const manifest manifest = burnManifest();
    const customer_options &shire = *manifest.customer(customer_id("shire"));
    const auto within = refusalsWithinRate({{NowS, {20, 30}}, {NowS + 1, {0, 30}}}, shire);
    CHECK(within == std::map<std::uint64_t, std::uint64_t>{{NowS, 10}, {NowS + 1, 10}});
}

TEST_CASE("the counter counts requests for the objectives that cover them")
{
    const manifest manifest = burnManifest();
    burn_counter counter;
    burn_event event;
    event.customer = customer_id("depot");
    event.streamed = true;
    event.firstToken = 360ms;
    event.gaps = burn_counter::gapsFor(manifest, event.customer, event.requests);
    REQUIRE(event.gaps.size() == 1);
    event.gaps[0].add(76ms);
    event.gaps[0].add(77ms);
    counter.onEvent(manifest, event);
    event.firstToken = 361ms;
    event.gaps.clear();
    counter.onEvent(manifest, event);
    event.result = burn_result::Refused;
    event.firstToken.reset();
    counter.onEvent(manifest, event);
    event.result = burn_result::NotCounted;
    counter.onEvent(manifest, event);
    const burn_interval interval = counter.take();
    const auto countOf = [&](const char *objective) {
        return interval.counts.at({event.customer, objective_class::Online, objective});
    };
    CHECK(countOf("availability") == burn_count{2, 1});
    CHECK(countOf("first-token") == burn_count{1, 2});
    CHECK(countOf("gap") == burn_count{1, 1});
    CHECK(countOf("refusals") == burn_count{2, 1});
    CHECK(counter.take().isEmpty());
    CHECK(burn_counter::gapsFor(manifest, customer_id("shire"), objective_class::Online).empty());
}

TEST_CASE("only the seconds of customers with a refusal are kept")
{
    const manifest manifest = burnManifest();
    burn_counter counter;
    counter.onAdmission(manifest, customer_id("shire"), true, NowS);
    counter.onAdmission(manifest, customer_id("depot"), true, NowS);
    counter.onAdmission(manifest, customer_id("depot"), false, NowS);
    counter.onAdmission(manifest, customer_id("stranger"), false, NowS);
    const burn_interval interval = counter.take();
    REQUIRE(interval.seconds.size() == 1);
    CHECK(interval.seconds.at(customer_id("depot")).at(NowS) == admission_counts{1, 1});
}

TEST_CASE("jobs are good if completed in time, bad if late, and otherwise not counted")
{
    const manifest manifest = burnManifest();
    burn_report report(manifest);
    report.addJob(jobOf(2, 2, NowS - 200, NowS - 100), NowS); // in time
    report.addJob(jobOf(2, 2, NowS - 1'200, NowS - 100), NowS); // 100 s late
    report.addJob(jobOf(2, 1, NowS - 1'100, 0), NowS); // open and late
    report.addJob(jobOf(2, 1, NowS - 100, 0), NowS); // open and not due
    batch_job cancelled = jobOf(2, 1, NowS - 1'100, NowS - 50);
    cancelled.cancelled = true;
    report.addJob(cancelled, NowS);
    const burn_summary summary = report.summarize(NowS);
    const burn_row *row = findRow(summary, "due", "shire");
    REQUIRE(row != nullptr);
    CHECK(row->windows[0].count == burn_count{1, 2});
}

TEST_CASE("an interval is equal after a round trip through JSON, and malformed text is an error")
{
    burn_interval interval = availabilityOf(7, 3);
    interval.seconds[customer_id("shire")][NowS] = {4, 2};
    const auto read = burn_interval::fromJson(interval.toJson());
    REQUIRE(read.ok());
    CHECK(*read == interval);
    for (const char *text : {"", "[]", "{}", R"({"counts":[{}],"refused":[]})",
                             R"({"counts":[],"refused":[{"customer":"a","seconds":[[1]]}]})"})
        CHECK_FALSE(burn_interval::fromJson(text).ok());
}

TEST_CASE("the page is complete, loads no other resource and escapes names")
{
    burn_summary summary = windowsSummary(burn_mutation::None);
    summary.rows[0].customer = customer_id("<b>");
    const std::string page = burnPage(summary);
    CHECK(page.find("<svg") != std::string::npos);
    CHECK(page.find("</html>") != std::string::npos);
    CHECK(page.find("<b>") == std::string::npos);
    CHECK(page.find("http") == std::string::npos);
    CHECK(burnCells(summary)[0].size() == burnColumns().size());
}
