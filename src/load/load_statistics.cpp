// Counts outcomes in rows and slices.
#include <tamarackglade/load/load_statistics.hpp>

namespace tamarack {

namespace {

void countKind(load_row &row, const planned_request &request, const request_outcome &outcome)
{
    switch (outcome.kind) {
    case outcome_kind::Whole:
        ++row.whole;
        row.tokens += outcome.expectedTokens;
        return;
    case outcome_kind::Refused:
        ++row.refused;
        row.refusedWithinRate += request.withinRate ? 1 : 0;
        break;
    case outcome_kind::Failed:
        ++row.failed;
        break;
    case outcome_kind::Cut:
        ++row.cut;
        break;
    case outcome_kind::Wrong:
        ++row.wrong;
        break;
    case outcome_kind::Unfinished:
        ++row.unfinished;
        break;
    }
    ++row.reasons[outcome.reason];
}

void addLatencies(load_row &row, const planned_request &request, const request_outcome &outcome)
{
    if (outcome.kind == outcome_kind::Whole)
        row.total.add(outcome.total);
    else
        row.total.addMissing();
    if (!request.streamed)
        return;
    if (outcome.firstToken)
        row.firstToken.add(*outcome.firstToken);
    else
        row.firstToken.addMissing();
    for (const duration gap : outcome.gaps)
        row.gap.add(gap);
    if (outcome.tokens > 0 && outcome.tokens < outcome.expectedTokens)
        row.gap.addMissing(outcome.expectedTokens - outcome.tokens);
}

} // namespace

void load_row::merge(const load_row &other)
{
    intended += other.intended;
    intendedWithinRate += other.intendedWithinRate;
    whole += other.whole;
    refused += other.refused;
    refusedWithinRate += other.refusedWithinRate;
    failed += other.failed;
    cut += other.cut;
    wrong += other.wrong;
    unfinished += other.unfinished;
    tokens += other.tokens;
    for (const auto &[reason, count] : other.reasons)
        reasons[reason] += count;
    firstToken.merge(other.firstToken);
    gap.merge(other.gap);
    total.merge(other.total);
}

void load_statistics::record(const planned_request &request, const request_outcome &outcome)
{
    load_row &row = m_rows[{request.customer, request.requestClass}];
    ++row.intended;
    row.intendedWithinRate += request.withinRate ? 1 : 0;
    countKind(row, request, outcome);
    addLatencies(row, request, outcome);
    countInSlice(request, outcome);
}

void load_statistics::countInSlice(const planned_request &request, const request_outcome &outcome)
{
    const auto number = static_cast<std::uint64_t>(request.arrival / SliceLength);
    load_slice &slice = m_slices[{number, request.target}];
    ++slice.intended;
    if (outcome.kind == outcome_kind::Whole)
        ++slice.whole;
    else
        ++slice.reasons[outcome.reason];
}

void load_statistics::merge(const load_statistics &other)
{
    for (const auto &[key, row] : other.m_rows)
        m_rows[key].merge(row);
    for (const auto &[key, slice] : other.m_slices)
        m_slices[key].merge(slice);
}

load_row load_statistics::total() const
{
    load_row all;
    for (const auto &[key, row] : m_rows)
        all.merge(row);
    return all;
}

} // namespace tamarack
