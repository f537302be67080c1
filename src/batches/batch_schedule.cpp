// Orders a gateway's batch items by the runs of their customers and their due time.
#include <tamarackglade/batches/batch_schedule.hpp>

#include <algorithm>
#include <map>
#include <tuple>
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

time_point dueAt(const customer_batch &job)
{
    return job.firstReadAt + job.completionObjective;
}

/// A customer's place among those whose items may start: fewer runs come first.
struct queue_position
{
    std::size_t runs;
    time_point dueAt;
    customer_id customer;

    friend bool operator<(const queue_position &a, const queue_position &b)
    {
        return std::tie(a.runs, a.dueAt, a.customer) < std::tie(b.runs, b.dueAt, b.customer);
    }
};

/// The items of one customer, in the order in which they start.
class customer_queue
{
public:
    /// Jobs are added in the order of their due times.
    void add(const customer_batch &job) { m_jobs.push_back(&job); }
    /// Returns the job of the next item, or the last job if there is none.
    [[nodiscard]] const customer_batch &front() const
    {
        return *m_jobs[std::min(m_job, m_jobs.size() - 1)];
    }

    /// Returns the next item that take() accepts, and goes past it and the ones before. Items of
    /// jobs for which isBlocked() holds are passed over.
    template <class IsBlocked, class Take>
    std::optional<batch_item_key> next(item_owners &owners, const IsBlocked &isBlocked,
                                       const Take &take)
    {
        for (; m_job < m_jobs.size(); ++m_job, m_item = 0) {
            const customer_batch &job = *m_jobs[m_job];
            if (isBlocked(job))
                continue;
            const auto &own = owners.ownItems(job.id, job.items.size());
            while (m_item < own.size()) {
                const batch_item_key key{job.id, item_index(own[m_item++])};
                if (take(job, key))
                    return key;
            }
        }
        return std::nullopt;
    }

private:
    std::vector<const customer_batch *> m_jobs;
    std::size_t m_job = 0; // of m_jobs
    std::size_t m_item = 0; // of this gateway's items of the job
};

/// Condition for a start: the item is waiting, not running, and its pause after a failure is over.
class start_condition
{
public:
    start_condition(const std::set<batch_item_key> &running, time_point now)
        : m_running(running), m_now(now)
    {
    }

    bool operator()(const customer_batch &job, const batch_item_key &key) const
    {
        const batch_job_item &item = job.items[key.item.value()];
        return item.state == batch_item_state::Waiting && m_now >= startableAt(item)
               && !m_running.contains(key);
    }

private:
    const std::set<batch_item_key> &m_running;
    const time_point m_now;
};

/// The customers in the order of their turns: those with fewer runs come first.
class customer_turns
{
public:
    /// @param open jobs in the order of their due times
    customer_turns(const std::vector<const customer_batch *> &open,
                   const std::set<batch_item_key> &running)
    {
        std::map<customer_id, std::size_t> runs;
        for (const batch_item_key &key : running)
            ++runs[key.batch.customer];
        for (const customer_batch *job : open)
            m_queues[job->id.customer].add(*job);
        for (const auto &[customer, queue] : m_queues)
            m_order.insert({runs[customer], dueAt(queue.front()), customer});
    }

    /// Returns the next item that take() accepts; nullopt if no customer has one.
    template <class IsBlocked, class Take>
    std::optional<batch_item_key> next(item_owners &owners, const IsBlocked &isBlocked,
                                       const Take &take)
    {
        while (!m_order.empty()) {
            queue_position position = m_order.extract(m_order.begin()).value();
            customer_queue &queue = m_queues[position.customer];
            auto key = queue.next(owners, isBlocked, take);
            if (!key)
                continue;
            ++position.runs;
            position.dueAt = dueAt(queue.front());
            m_order.insert(position);
            return key;
        }
        return std::nullopt;
    }

private:
    std::map<customer_id, customer_queue> m_queues;
    std::set<queue_position> m_order;
};

// Returns the jobs with items of this gateway, in the order of their due times.
std::vector<const customer_batch *> openJobs(const std::vector<const batch_fold *> &folds,
                                             item_owners &owners, time_point currentSince)
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
    std::sort(open.begin(), open.end(), [](const customer_batch *a, const customer_batch *b) {
        return std::pair(dueAt(*a), a->id) < std::pair(dueAt(*b), b->id);
    });
    return open;
}

// Returns the items of this gateway that have begun and may go on.
std::vector<batch_item_key> begunItems(const std::vector<const customer_batch *> &open,
                                       item_owners &owners, const std::set<batch_item_key> &begun,
                                       const start_condition &mayStart)
{
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
    return items;
}

} // namespace

std::vector<batch_item_key> itemsToStart(const std::vector<const batch_fold *> &folds,
                                         item_owners &owners, const item_groups &groups,
                                         const std::set<batch_item_key> &begun,
                                         const std::set<batch_item_key> &running,
                                         time_point currentSince, time_point now,
                                         std::size_t maxItems)
{
    const std::vector<const customer_batch *> open = openJobs(folds, owners, currentSince);
    owners.dropUnused();
    const start_condition mayStart(running, now);
    std::vector<batch_item_key> items = begunItems(open, owners, begun, mayStart);
    group_quota quota(maxItems);
    customer_turns turns(open, running);
    const auto take = [&](const customer_batch &job, const batch_item_key &key) {
        return !begun.contains(key) && mayStart(job, key) && quota.take(groups.ofItem(job, key));
    };
    const auto isBlocked = [&](const customer_batch &job) {
        return quota.isUsedUp(groups.ofJob(job));
    };
    while (const auto key = turns.next(owners, isBlocked, take))
        items.push_back(*key);
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
