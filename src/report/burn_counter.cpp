// Evaluates requests against the objectives of the manifest.
#include <tamarackglade/report/burn_counter.hpp>

#include <utility>

namespace tamarack {

namespace {

bool covers(const objective_options &objective, const customer_id &customer,
            objective_class requests)
{
    const bool sameClass =
        objective.requests == objective_class::All || objective.requests == requests;
    return sameClass && (objective.customer.value().empty() || objective.customer == customer);
}

burn_count oneEvent(bool good)
{
    return good ? burn_count{1, 0} : burn_count{0, 1};
}

burn_count firstTokenCount(const objective_options &objective, const burn_event &event)
{
    if (!event.streamed)
        return {};
    if (event.firstToken)
        return oneEvent(*event.firstToken <= objective.threshold);
    // A request that failed before its first token misses the objective.
    return event.result == burn_result::Answered ? burn_count{} : oneEvent(false);
}

burn_count gapCount(const objective_options &objective, const burn_event &event)
{
    for (const burn_gap &gap : event.gaps) {
        if (gap.objective == objective.name)
            return gap.count;
    }
    return {};
}

burn_count countOf(const objective_options &objective, const burn_event &event)
{
    switch (objective.kind) {
    case objective_kind::Availability:
        return oneEvent(event.result == burn_result::Answered);
    case objective_kind::Refusals:
        return oneEvent(event.result != burn_result::Refused);
    case objective_kind::FirstToken:
        return firstTokenCount(objective, event);
    case objective_kind::TokenGap:
        return gapCount(objective, event);
    case objective_kind::BatchDue: // counted by burn_report::addJob
        return {};
    }
    return {};
}

} // namespace

std::vector<burn_gap> burn_counter::gapsFor(const manifest &manifest, const customer_id &customer,
                                            objective_class requests)
{
    std::vector<burn_gap> gaps;
    for (const auto &[name, objective] : manifest.objectives) {
        if (objective.kind == objective_kind::TokenGap && covers(objective, customer, requests))
            gaps.push_back({name, objective.threshold, {}});
    }
    return gaps;
}

void burn_counter::onEvent(const manifest &manifest, const burn_event &event)
{
    if (event.result == burn_result::NotCounted || event.customer.value().empty())
        return;
    for (const auto &[name, objective] : manifest.objectives) {
        if (!covers(objective, event.customer, event.requests))
            continue;
        const burn_count count = countOf(objective, event);
        if (count.total() > 0)
            m_interval.counts[{event.customer, event.requests, name}] += count;
    }
}

void burn_counter::onAdmission(const manifest &manifest, const customer_id &customer, bool admitted,
                               std::uint64_t wallS)
{
    if (manifest.customer(customer) == nullptr)
        return;
    admission_counts &second = m_interval.seconds[customer][wallS];
    if (admitted)
        ++second.admitted;
    else
        ++second.refused;
}

burn_interval burn_counter::take()
{
    // The replay of rates needs only the seconds of customers with a refusal.
    std::erase_if(m_interval.seconds, [](const auto &customer) {
        for (const auto &[second, requests] : customer.second) {
            if (requests.refused > 0)
                return false;
        }
        return true;
    });
    return std::exchange(m_interval, {});
}

} // namespace tamarack
