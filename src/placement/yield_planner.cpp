// Spreads the requests to yield over the batch runs that peers reported.
#include <tamarackglade/placement/yield_planner.hpp>

#include <algorithm>

namespace tamarack {

std::vector<yield_target> yield_planner::plan(const slot_allocator &allocator,
                                              const std::vector<waiting_work> &waiting,
                                              time_point now)
{
    std::erase_if(m_asked, [&](const asked_run &each) { return now - each.at >= AnswerTime; });
    std::size_t waitingCount = 0;
    for (const waiting_work &work : waiting)
        waitingCount += work.count;
    std::vector<yield_target> targets;
    for (const waiting_work &work : waiting) {
        std::vector<peer_batch_runs> runs = allocator.peerBatchRuns(work.group, work.version, now);
        std::shuffle(runs.begin(), runs.end(), m_random);
        std::size_t chosen = 0;
        for (const peer_batch_runs &each : runs) {
            const yield_target target{each.gateway, each.upstream};
            if (chosen == work.count || targets.size() == MaxAsksPerRound
                || m_asked.size() >= waitingCount)
                break;
            if (asked(target) >= each.runs)
                continue;
            targets.push_back(target);
            m_asked.push_back({target, each.runs, now});
            ++chosen;
        }
    }
    return targets;
}

bool yield_planner::onReport(const vm_id &gateway,
                             const std::unordered_map<upstream_id, slot_use> &use)
{
    const auto ended = std::erase_if(m_asked, [&](const asked_run &each) {
        const auto now = use.find(each.target.upstream);
        return each.target.gateway == gateway
               && (now == use.end() || now->second.batch < each.runs);
    });
    return ended > 0;
}

std::size_t yield_planner::asked(const yield_target &target) const
{
    return static_cast<std::size_t>(
        std::count_if(m_asked.begin(), m_asked.end(),
                      [&](const asked_run &each) { return each.target == target; }));
}

} // namespace tamarack
