// Notes when each count changed.
#include <tamarackglade/reports/zone_counts.hpp>

namespace tamarack {

void zone_counts::onCounts(const vm_id &member, incarnation_number incarnation,
                           const std::vector<schema::customer_count> &counts, time_point now)
{
    member_state &state = m_members[member];
    if (state.incarnation != incarnation)
        state = member_state{incarnation, {}};
    for (const schema::customer_count &count : counts) {
        const auto [found, isNew] = state.counts.try_emplace(count.customer());
        kept_count &kept = found->second;
        if (isNew || kept.admitted != count.admitted())
            kept.changedAt = now;
        kept.admitted = count.admitted();
        kept.level = count.level();
    }
}

std::vector<member_count> zone_counts::dueCounts(time_point now)
{
    ++m_round;
    std::vector<member_count> due;
    for (const auto &[member, state] : m_members) {
        for (const auto &[customer, kept] : state.counts) {
            if (now - kept.changedAt < RepeatWindow || customer % Rounds == m_round % Rounds)
                due.push_back({member, {customer, kept.admitted, kept.level}});
        }
    }
    return due;
}

} // namespace tamarack
