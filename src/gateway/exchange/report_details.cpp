// Ages in a report count from when it was encoded.
#include <tamarackglade/gateway/exchange/report_details.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace tamarack {

namespace {

using report_list = std::vector<std::unique_ptr<schema::peer_report_message>>;

/// Keeps the lowest age of each key.
template <class Key>
void keepLowest(std::map<Key, std::uint32_t> &ages, const Key &key, std::uint32_t age)
{
    const auto [known, isNew] = ages.try_emplace(key, age);
    if (!isNew)
        known->second = std::min(known->second, age);
}

void mergeSoundParts(report_list &reports, std::uint64_t maxAgeMillis)
{
    std::map<std::uint64_t, std::uint32_t> ages;
    for (const auto &report : reports) {
        for (const schema::sound_part &each : std::exchange(report->sound_parts, {})) {
            if (each.age_ms() <= maxAgeMillis)
                keepLowest(ages, each.part(), each.age_ms());
        }
    }
    for (const auto &[part, age] : ages)
        reports.front()->sound_parts.emplace_back(part, age);
}

// A run may deliver its event long after it was sent, so the age of its start doesn't show whether
// an earlier report contained it.
void mergeServedRuns(report_list &reports)
{
    std::map<std::uint64_t, std::uint32_t> ages;
    for (const auto &report : reports) {
        for (const schema::served_run &each : std::exchange(report->served_runs, {}))
            keepLowest(ages, each.instance(), each.sent_age_ms());
    }
    for (const auto &[instance, age] : ages)
        reports.front()->served_runs.emplace_back(instance, age);
}

void mergeSoundRequests(report_list &reports, std::uint64_t maxAgeMillis)
{
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::uint32_t> ages;
    for (const auto &report : reports) {
        for (const schema::sound_request &each : std::exchange(report->sound_requests, {})) {
            if (each.age_ms() <= maxAgeMillis)
                keepLowest(ages, {each.customer(), each.request()}, each.age_ms());
        }
    }
    for (const auto &[request, age] : ages)
        reports.front()->sound_requests.emplace_back(request.first, request.second, age);
}

} // namespace

void mergeDetails(std::vector<std::unique_ptr<schema::peer_report_message>> &reports,
                  std::uint64_t maxAgeMillis)
{
    if (reports.empty())
        return;
    mergeSoundParts(reports, maxAgeMillis);
    mergeServedRuns(reports);
    mergeSoundRequests(reports, maxAgeMillis);
    for (const auto &report : reports)
        std::erase_if(report->breaks,
                      [&](const auto &each) { return each->broke_age_ms > maxAgeMillis; });
    std::erase_if(reports, [](const auto &report) { return !hasDetails(*report); });
}

bool hasDetails(const schema::peer_report_message &report)
{
    return !report.breaks.empty() || !report.sound_parts.empty() || !report.quarantine.empty()
           || !report.upstream_rates.empty() || !report.served_runs.empty()
           || !report.leaving.empty() || !report.quarantined_requests.empty()
           || !report.sound_requests.empty();
}

void addAge(schema::peer_report_message &report, std::uint64_t millis)
{
    const auto added = static_cast<std::uint32_t>(millis);
    for (const auto &each : report.breaks) {
        each->sent_age_ms += added;
        each->broke_age_ms += added;
    }
    for (schema::sound_part &each : report.sound_parts)
        each.mutate_age_ms(each.age_ms() + added);
    for (const auto &each : report.quarantine)
        each->age_ms += millis;
    for (schema::upstream_rate &each : report.upstream_rates)
        each.mutate_age_ms(each.age_ms() + added);
    for (schema::served_run &each : report.served_runs)
        each.mutate_sent_age_ms(each.sent_age_ms() + added);
    for (const auto &each : report.quarantined_requests) {
        each->age_ms += millis;
        each->used_age_ms += millis;
    }
    for (schema::sound_request &each : report.sound_requests)
        each.mutate_age_ms(each.age_ms() + added);
}

} // namespace tamarack
