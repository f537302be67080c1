// The order of items.
#include <tamarackglade/jobs/item_scheduler.hpp>

namespace tamarack {

item_scheduler::item_scheduler(const partition_fold &fold) : m_fold(fold) { }

void item_scheduler::addJob(const batch_job &job)
{
    const auto [found, isNew] =
        m_runs.try_emplace(job.id, job_run{job.customer, job.model, job.dueAtS(), 0, {}});
    if (!isNew)
        return;
    auto &queue = m_models[job.model];
    const auto weight = m_weights.find(job.customer);
    queue.jobs[job.customer].emplace(due_key(job.dueAtS(), job.id), &found->second);
    queue.ring.set(job.customer, weight == m_weights.end() ? 1 : weight->second);
}

void item_scheduler::removeJob(const job_id &job)
{
    const auto found = m_runs.find(job);
    if (found == m_runs.end())
        return;
    const auto &run = found->second;
    auto &queue = m_models.at(run.model);
    auto &jobs = queue.jobs.at(run.customer);
    jobs.erase(due_key(run.dueAtS, job));
    if (jobs.empty()) {
        queue.jobs.erase(run.customer);
        queue.ring.remove(run.customer);
    }
    if (queue.jobs.empty())
        m_models.erase(run.model);
    m_runs.erase(found);
}

void item_scheduler::setWeight(const customer_id &customer, std::uint32_t weight)
{
    m_weights[customer] = weight;
    for (auto &[model, queue] : m_models) {
        if (queue.ring.contains(customer))
            queue.ring.set(customer, weight);
    }
}

void item_scheduler::retry(const item_key &key, time_point readyAt)
{
    const auto found = m_runs.find(key.job);
    if (found != m_runs.end())
        found->second.retries.emplace(readyAt, key.item);
}

std::optional<item_index> item_scheduler::takeItem(const job_id &id, job_run &run, time_point now)
{
    const auto *job = m_fold.job(id);
    if (!job)
        return std::nullopt;
    while (!run.retries.empty() && run.retries.begin()->first <= now) {
        const auto item = run.retries.begin()->second;
        run.retries.erase(run.retries.begin());
        if (!job->hasResult(item))
            return item;
    }
    while (run.nextFresh < job->itemCount()) {
        const item_index item(run.nextFresh);
        ++run.nextFresh;
        if (!job->hasResult(item))
            return item;
    }
    return std::nullopt;
}

std::optional<item_key> item_scheduler::next(const model_id &model, time_point now)
{
    const auto found = m_models.find(model);
    if (found == m_models.end())
        return std::nullopt;
    auto &queue = found->second;
    std::optional<item_key> result;
    queue.ring.next([&](const customer_id &customer) {
        for (auto &[due, run] : queue.jobs.at(customer)) {
            if (const auto item = takeItem(due.second, *run, now)) {
                result = item_key{due.second, *item};
                return true;
            }
        }
        return false;
    });
    return result;
}

std::optional<time_point> item_scheduler::nextRetry() const
{
    std::optional<time_point> first;
    for (const auto &[id, run] : m_runs) {
        if (!run.retries.empty() && (!first || run.retries.begin()->first < *first))
            first = run.retries.begin()->first;
    }
    return first;
}

} // namespace tamarack
