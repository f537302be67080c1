// Re-append of the configuration.
#include <tamarackglade/config/config_retention.hpp>

namespace tamarack {

namespace {

duration randomBelow(duration limit, std::mt19937_64 &random)
{
    std::uniform_int_distribution<duration::rep> pick(0, limit.count());
    return duration(pick(random));
}

} // namespace

bool config_retention::shouldAppend(time_point now, std::uint64_t wallSeconds,
                                    const config_fold &fold, std::mt19937_64 &random)
{
    const auto state = fold.state();
    if (!state->inForce)
        return false;
    const duration retention = state->inForce->fleet.logRetention;
    const std::uint64_t last = fold.lastSnapshotSeconds();
    const std::uint64_t age = wallSeconds > last ? wallSeconds - last : 0;
    if (last != 0 && std::chrono::seconds(age) < retention / 2) {
        m_due.reset();
        return false;
    }
    if (!m_due)
        m_due = now + randomBelow(retention / 8, random);
    if (now < *m_due)
        return false;
    m_due = now + retention / 8;
    return true;
}

} // namespace tamarack
