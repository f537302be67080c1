// Selection of the next item to run.
#include <tamarackglade/jobs/item_scheduler.hpp>

namespace tamarack {

item_scheduler::item_scheduler(const partition_fold &fold) : m_fold(fold) { }

void item_scheduler::addJob(const batch_job &job)
{
    const auto [found, isNew] =
        m_jobs.try_emplace(job.id, job_progress{job.customer, job.model, job.dueAtS(), 0, {}});
    if (!isNew)
        return;
    auto &queue = m_models[job.model];
    const auto weight = m_weights.find(job.customer);
    queue.jobs[job.customer].emplace(due_key(job.dueAtS(), job.id), &found->second);
    queue.ring.set(job.customer, weight == m_weights.end() ? 1 : weight->second);
}

void item_scheduler::removeJob(const job_id &job)
{
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end())
        return;
    const auto &progress = found->second;
    auto &queue = m_models.at(progress.model);
    auto &jobs = queue.jobs.at(progress.customer);
    jobs.erase(due_key(progress.dueAtS, job));
    if (jobs.empty()) {
        queue.jobs.erase(progress.customer);
        queue.ring.remove(progress.customer);
    }
    if (queue.jobs.empty())
        m_models.erase(progress.model);
    m_jobs.erase(found);
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
    const auto found = m_jobs.find(key.job);
    if (found != m_jobs.end())
        found->second.retries.emplace(readyAt, key.item);
}

std::optional<item_index> item_scheduler::takeItem(const job_id &id, job_progress &progress,
                                                   time_point now)
{
    const auto *job = m_fold.job(id);
    if (!job)
        return std::nullopt;
    while (!progress.retries.empty() && progress.retries.begin()->first <= now) {
        const auto item = progress.retries.begin()->second;
        progress.retries.erase(progress.retries.begin());
        if (!job->hasResult(item))
            return item;
    }
    while (progress.nextUntried < job->itemCount()) {
        const item_index item(progress.nextUntried);
        ++progress.nextUntried;
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
        for (auto &[due, progress] : queue.jobs.at(customer)) {
            if (const auto item = takeItem(due.second, *progress, now)) {
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
    for (const auto &[id, progress] : m_jobs) {
        if (!progress.retries.empty() && (!first || progress.retries.begin()->first < *first))
            first = progress.retries.begin()->first;
    }
    return first;
}

} // namespace tamarack
