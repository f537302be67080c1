// Orders a gateway's batch items by their due time.
#include <tamarackglade/batches/batch_schedule.hpp>

#include <algorithm>
#include <unordered_map>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds FirstRetryPause{500}; // after the first failure
constexpr unsigned RetryPauseFactor = 4; // multiplies the pause for each further failure
constexpr unsigned MaxPauseSteps = 3; // the pause stays constant after this number of failures

time_point startableAt(const batch_job_item &item)
{
    duration pause{};
    const auto failures = static_cast<unsigned>(item.failedRuns.size());
    for (unsigned i = 0; i < std::min(failures, MaxPauseSteps); ++i)
        pause = i == 0 ? duration(FirstRetryPause) : pause * RetryPauseFactor;
    return item.lastFailedAt + pause;
}

/// Counts the listed items of each group.
class group_quota
{
public:
    explicit group_quota(std::size_t most) : m_most(most) { }

    [[nodiscard]] bool isUsedUp(const std::vector<group_id> &groups) const
    {
        return std::all_of(groups.begin(), groups.end(), [this](const group_id &each) {
            const auto found = m_taken.find(each);
            return found != m_taken.end() ? found->second >= m_most : m_most == 0;
        });
    }
    // Returns false if the group's quota is used up.
    bool take(const group_id &group)
    {
        std::size_t &taken = m_taken[group];
        if (taken >= m_most)
            return false;
        ++taken;
        return true;
    }

private:
    const std::size_t m_most;
    std::unordered_map<group_id, std::size_t> m_taken;
};

} // namespace

std::vector<batch_item_key> itemsToStart(const std::vector<const batch_fold *> &folds,
                                         item_owners &owners, const item_groups &groups,
                                         const std::set<batch_item_key> &begun,
                                         const std::set<batch_item_key> &running,
                                         time_point currentSince, time_point now,
                                         std::size_t maxItems)
{
    std::vector<const customer_batch *> open;
    for (const batch_fold *fold : folds) {
        if (!fold->completeSince(currentSince))
            continue;
        for (const auto &[id, job] : fold->jobs()) {
            if (job.open() && !owners.ownItems(id, job.items.size()).empty())
                open.push_back(&job);
        }
    }
    owners.dropUnused();
    const auto dueAt = [](const customer_batch *job) {
        return job->firstReadAt + job->completionObjective;
    };
    std::sort(open.begin(), open.end(), [&](const customer_batch *a, const customer_batch *b) {
        return std::pair(dueAt(a), a->id) < std::pair(dueAt(b), b->id);
    });
    const auto mayStart = [&](const customer_batch &job, const batch_item_key &key) {
        const batch_job_item &item = job.items[key.item.value()];
        return item.state == batch_item_state::Waiting && now >= startableAt(item)
               && !running.contains(key);
    };
    std::vector<batch_item_key> items;
    for (const customer_batch *job : open) {
        const auto &own = owners.ownItems(job->id, job->items.size());
        const batch_item_key first{job->id, item_index(0)};
        for (auto key = begun.lower_bound(first); key != begun.end() && key->batch == job->id;
             ++key) {
            if (std::binary_search(own.begin(), own.end(), key->item.value())
                && mayStart(*job, *key))
                items.push_back(*key);
        }
    }
    group_quota quota(maxItems);
    for (const customer_batch *job : open) {
        if (quota.isUsedUp(groups.ofJob(*job)))
            continue;
        for (const std::uint32_t number : owners.ownItems(job->id, job->items.size())) {
            const batch_item_key key{job->id, item_index(number)};
            if (!begun.contains(key) && mayStart(*job, key) && quota.take(groups.ofItem(*job, key)))
                items.push_back(key);
        }
    }
    return items;
}

std::set<upstream_id> failedUpstreams(const batch_job_item &item)
{
    std::set<upstream_id> upstreams;
    for (const auto &[run, upstream] : item.failedRuns)
        upstreams.insert(upstream);
    return upstreams;
}

bool mustAbandon(const customer_batch &job, std::size_t item, time_point now)
{
    if (job.items[item].failedRuns.size() >= job.attempts)
        return true;
    return job.retention > duration::zero() && now - job.firstReadAt > job.retention;
}

bool routeWasRemoved(const customer_batch &job, std::optional<time_point> confirmedAt)
{
    return confirmedAt && *confirmedAt >= job.firstReadAt;
}

} // namespace tamarack
