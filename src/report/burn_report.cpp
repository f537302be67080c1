// Computes window sums, remaining error budgets and the time until they are exhausted.
#include <tamarackglade/report/burn_report.hpp>
#include <tamarackglade/report/rate_replay.hpp>

#include <algorithm>
#include <tuple>

namespace tamarack {

namespace {

constexpr std::size_t HistoryBuckets = 60;
constexpr std::uint64_t MinBucketS = 30;
constexpr std::size_t LastHourIndex = 1; // index of 1 hour in BurnWindowsS
constexpr std::uint64_t BudgetPeriodS = BurnWindowsS.back();

// Share of events that may be bad. Above 0, because the manifest's checks reject other targets.
double allowedShare(const objective_options &objective)
{
    return 1 - objective.targetPercent / 100;
}

double burnRateOf(const burn_count &count, double allowed)
{
    if (count.total() == 0)
        return 0;
    return static_cast<double>(count.bad) / static_cast<double>(count.total()) / allowed;
}

std::optional<double> exhaustionOf(double budgetLeft, double burnRate)
{
    if (budgetLeft <= 0)
        return 0;
    if (burnRate <= 0)
        return std::nullopt;
    return budgetLeft * static_cast<double>(BudgetPeriodS) / burnRate;
}

bool countsRefusals(const objective_options &objective, const customer_id &customer)
{
    const bool kind = objective.kind == objective_kind::Refusals
                      || objective.kind == objective_kind::Availability;
    const bool covered = objective.customer.value().empty() || objective.customer == customer;
    return kind && covered && objective.requests != objective_class::Batch;
}

} // namespace

burn_report::burn_report(const manifest &manifest, burn_mutation mutation)
    : m_manifest(manifest), m_mutation(mutation)
{
}

void burn_report::addCounts(const burn_fold &fold)
{
    for (const burn_fold::interval_record &record : fold.records()) {
        for (const auto &[key, count] : record.interval.counts)
            addPoint(key, record.endS, count);
    }
    addRefusals(fold);
}

void burn_report::addRefusals(const burn_fold &fold)
{
    std::map<customer_id, std::map<std::uint64_t, admission_counts>> seconds;
    for (const burn_fold::interval_record &record : fold.records()) {
        for (const auto &[customer, rows] : record.interval.seconds) {
            for (const auto &[second, requests] : rows)
                seconds[customer][second] += requests;
        }
    }
    for (const auto &[customer, rows] : seconds) {
        const customer_options *options = m_manifest.customer(customer);
        if (options == nullptr)
            continue;
        for (const auto &[second, refused] : refusalsWithinRate(rows, *options, m_mutation)) {
            for (const auto &[name, objective] : m_manifest.objectives) {
                if (countsRefusals(objective, customer))
                    addPoint({customer, objective_class::Online, name}, second, {0, refused});
            }
        }
    }
}

void burn_report::addJob(const batch_job &job, std::uint64_t nowS)
{
    const bool late = job.openCount() > 0 ? nowS > job.dueAtS() : job.endedAtS > job.dueAtS();
    if (job.cancelled || (job.openCount() > 0 && !late))
        return;
    const std::uint64_t atS = late ? job.dueAtS() : job.endedAtS;
    for (const auto &[name, objective] : m_manifest.objectives) {
        const bool covered =
            objective.customer.value().empty() || objective.customer == job.customer;
        if (objective.kind == objective_kind::BatchDue && covered)
            addPoint({job.customer, objective_class::Batch, name}, atS,
                     late ? burn_count{0, 1} : burn_count{1, 0});
    }
}

void burn_report::addPoint(const burn_key &key, std::uint64_t atS, const burn_count &count)
{
    const auto objective = m_manifest.objectives.find(key.objective);
    if (objective == m_manifest.objectives.end())
        return;
    m_points[key].push_back({atS, count});
    if (objective->second.customer.value().empty())
        m_points[{customer_id(), key.requests, key.objective}].push_back({atS, count});
    m_firstDataS = m_firstDataS == 0 ? atS : std::min(m_firstDataS, atS);
}

burn_summary burn_report::summarize(std::uint64_t nowS) const
{
    burn_summary summary;
    summary.nowS = nowS;
    summary.firstDataS = m_firstDataS == 0 ? nowS : std::min(m_firstDataS, nowS);
    const std::uint64_t dataSpanS = std::min(nowS - summary.firstDataS + 1, BudgetPeriodS);
    summary.historyBucketS =
        std::max(MinBucketS, (dataSpanS + HistoryBuckets - 1) / HistoryBuckets);
    for (const auto &[key, points] : m_points)
        summary.rows.push_back(makeRow(key, points, summary));
    std::sort(summary.rows.begin(), summary.rows.end(),
              [](const burn_row &left, const burn_row &right) {
                  return std::tie(left.objective.name, left.customer, left.requests)
                         < std::tie(right.objective.name, right.customer, right.requests);
              });
    return summary;
}

burn_row burn_report::makeRow(const burn_key &key, const std::vector<point> &points,
                              const burn_summary &summary) const
{
    burn_row row;
    row.objective = m_manifest.objectives.at(key.objective);
    row.customer = key.customer;
    row.requests = key.requests;
    row.history.resize(HistoryBuckets);
    const double allowed = allowedShare(row.objective);
    for (const point &at : points) {
        const std::uint64_t age = summary.nowS > at.atS ? summary.nowS - at.atS : 0;
        const std::uint64_t bucket = age / summary.historyBucketS;
        if (bucket < HistoryBuckets)
            row.history[HistoryBuckets - 1 - bucket] += at.count;
        for (std::size_t i = 0; i < row.windows.size(); ++i) {
            if (age < BurnWindowsS[i] || m_mutation == burn_mutation::IgnoreWindows)
                row.windows[i].count += at.count;
        }
    }
    for (std::size_t i = 0; i < row.windows.size(); ++i) {
        row.windows[i].lengthS = BurnWindowsS[i];
        row.windows[i].burnRate = burnRateOf(row.windows[i].count, allowed);
    }
    row.budgetLeft = 1 - row.windows.back().burnRate;
    row.exhaustionS = exhaustionOf(row.budgetLeft, row.windows[LastHourIndex].burnRate);
    return row;
}

} // namespace tamarack
