// Applies records to the batch jobs of a partition.
#include <tamarackglade/batches/batch_codec.hpp>
#include <tamarackglade/batches/batch_fold.hpp>

#include <utility>

namespace tamarack {

namespace {

batch_job_item itemOf(schema::accepted_item_message &record)
{
    batch_job_item item;
    item.id = std::move(record.id);
    item.tokens = record.tokens;
    if (record.content)
        item.content = decodePlace(*record.content);
    return item;
}

duration fromMilliseconds(std::uint64_t milliseconds)
{
    return std::chrono::milliseconds(milliseconds);
}

} // namespace

bool batch_fold::apply(std::string_view bytes, time_point now)
{
    m_end = stream_position(m_end.value() + 1);
    auto record = decodeBatchRecord(bytes);
    if (!record)
        return false;
    using enum schema::batch_record_body;
    switch (record->body.type) {
    case batch_accepted:
        accept(*record->body.Asbatch_accepted(), now);
        return true;
    case item_finished:
        finish(*record->body.Asitem_finished());
        return true;
    case item_failed:
        fail(*record->body.Asitem_failed(), now);
        return true;
    case batch_ended:
        endJob(*record->body.Asbatch_ended());
        return true;
    case NONE:
        break;
    }
    return false;
}

void batch_fold::confirm(time_point sentAt)
{
    m_completeAt = m_completeAt ? std::max(*m_completeAt, sentAt) : sentAt;
}

void batch_fold::tick(time_point now)
{
    std::erase_if(m_jobs, [&](const auto &entry) {
        const customer_batch &job = entry.second;
        const duration kept = std::max(m_keepTime, job.open() ? 2 * job.retention : m_keepTime);
        return now - job.firstReadAt > kept;
    });
    std::erase_if(m_firstOfId, [&](const auto &entry) {
        return !m_jobs.contains({entry.second, entry.first});
    });
}

const customer_batch *batch_fold::find(const batch_id &id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

std::uint64_t batch_fold::waitingTokens(const customer_id &customer,
                                        std::string_view routeName) const
{
    std::uint64_t tokens = 0;
    for (const auto &[id, job] : m_jobs) {
        if (id.customer != customer || job.routeName != routeName || job.ended)
            continue;
        for (const batch_job_item &item : job.items)
            tokens += item.state == batch_item_state::Waiting ? item.tokens : 0;
    }
    return tokens;
}

void batch_fold::accept(schema::batch_accepted_message &record, time_point now)
{
    const batch_id id{customer_id(std::move(record.customer)), job_id(std::move(record.job))};
    if (m_jobs.contains(id))
        return;
    m_firstOfId.try_emplace(id.job, id.customer);
    customer_batch job;
    job.id = id;
    job.routeName = std::move(record.route);
    job.host = std::move(record.host);
    job.completionObjective = fromMilliseconds(record.due_ms);
    job.retention = fromMilliseconds(record.retention_ms);
    job.attempts = std::max(1U, record.attempts);
    job.firstReadAt = now;
    for (const auto &item : record.items)
        job.items.push_back(itemOf(*item));
    m_jobs.emplace(id, std::move(job));
}

// Writers of the version before name the job by its id alone, and mean the first one under it.
template <class Record>
customer_batch *batch_fold::jobOf(const Record &record)
{
    batch_id id{customer_id(record.customer), job_id(record.customer_job)};
    if (record.customer_job.empty()) {
        const auto first = m_firstOfId.find(job_id(record.job));
        if (first == m_firstOfId.end())
            return nullptr;
        id = {first->second, first->first};
    }
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

void batch_fold::finish(const schema::item_finished_message &record)
{
    customer_batch *job = jobOf(record);
    if (job == nullptr || record.item >= job->items.size())
        return;
    batch_job_item &item = job->items[record.item];
    if (item.state != batch_item_state::Waiting)
        return;
    if (record.output && !record.abandoned)
        item.output = decodePlace(*record.output);
    item.state = record.abandoned ? batch_item_state::Abandoned : batch_item_state::Done;
    job->results.push_back(record.item);
}

void batch_fold::fail(const schema::item_failed_message &record, time_point now)
{
    customer_batch *job = jobOf(record);
    if (job == nullptr || record.item >= job->items.size())
        return;
    batch_job_item &item = job->items[record.item];
    if (item.failedRuns.emplace(record.run, upstream_id(record.upstream)).second)
        item.lastFailedAt = now;
}

void batch_fold::endJob(const schema::batch_ended_message &record)
{
    if (customer_batch *job = jobOf(record))
        job->ended = true;
}

} // namespace tamarack
