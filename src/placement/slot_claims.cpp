// Grants, conflicts and ends of claims.
#include <tamarackglade/core/doubling_pause.hpp>
#include <tamarackglade/placement/slot_claims.hpp>

#include <algorithm>

namespace tamarack {

bool slot_claims::holds(const upstream_id &upstream) const
{
    const auto found = m_claims.find(upstream);
    return found != m_claims.end() && found->second.begunAt;
}

bool slot_claims::mayBegin(const upstream_id &upstream, time_point now) const
{
    const auto held = std::count_if(m_claims.begin(), m_claims.end(), [](const auto &entry) {
        return entry.second.begunAt.has_value();
    });
    if (static_cast<std::size_t>(held) >= m_options.maxClaims)
        return false;
    const auto found = m_claims.find(upstream);
    return found == m_claims.end() || now >= found->second.pausedUntil;
}

void slot_claims::begin(const upstream_id &upstream, time_point now)
{
    claim &each = m_claims[upstream];
    each.begunAt = now;
    each.usedAt = now;
}

bool slot_claims::use(const upstream_id &upstream, time_point now)
{
    const auto found = m_claims.find(upstream);
    if (found == m_claims.end() || !found->second.begunAt)
        return false;
    found->second.usedAt = now;
    return now - *found->second.begunAt >= m_options.settleTime;
}

void slot_claims::onTaken(const upstream_id &upstream, time_point now)
{
    claim &each = m_claims[upstream];
    if (each.begunAt)
        ++each.conflicts;
    else if (now < each.pausedUntil)
        return;
    each.begunAt.reset();
    const duration bound = doublingPause(m_options.firstPause, m_options.maxPause, each.conflicts);
    std::uniform_int_distribution<duration::rep> pause(0, bound.count());
    each.pausedUntil = now + duration(pause(m_random));
}

std::vector<upstream_id> slot_claims::tick(time_point now)
{
    std::vector<upstream_id> ended;
    for (auto each = m_claims.begin(); each != m_claims.end();) {
        const claim &held = each->second;
        const bool isUnused = held.begunAt ? now - held.usedAt >= m_options.unusedLifetime
                                           : now - held.pausedUntil >= m_options.maxPause;
        if (isUnused && held.begunAt)
            ended.push_back(each->first);
        each = isUnused ? m_claims.erase(each) : std::next(each);
    }
    return ended;
}

} // namespace tamarack
