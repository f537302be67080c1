// Queries of the partition fold.
#include <tamarackglade/jobs/partition_fold.hpp>

namespace tamarack {

const batch_job *partition_fold::job(const job_id &id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

const batch_job *partition_fold::jobByDigest(const customer_id &customer,
                                             std::uint64_t digest) const
{
    const auto found = m_jobsByDigest.find(std::pair(customer, digest));
    return found == m_jobsByDigest.end() ? nullptr : job(found->second);
}

std::vector<job_id> partition_fold::jobsOf(const customer_id &customer) const
{
    std::vector<job_id> result;
    auto entry = m_jobsInOrder.lower_bound(std::pair(customer, std::uint64_t{0}));
    for (; entry != m_jobsInOrder.end() && entry->first.first == customer; ++entry)
        result.push_back(entry->second);
    return result;
}

const input_file *partition_fold::file(const file_id &id) const
{
    const auto found = m_files.find(id);
    return found == m_files.end() ? nullptr : &found->second;
}

bool partition_fold::isFileUsed(const file_id &id) const
{
    return m_fileUses.contains(id);
}

std::optional<input_reference> partition_fold::inputOf(const item_key &key) const
{
    const auto *found = job(key.job);
    const auto *input = found ? file(found->inputFile) : nullptr;
    return input ? input->line(key.item.value()) : std::nullopt;
}

std::vector<item_index> partition_fold::openItems(const job_id &id, item_index from,
                                                  std::size_t limit) const
{
    std::vector<item_index> result;
    const auto *found = job(id);
    if (!found || found->isEnded())
        return result;
    for (auto item = from.value(); item < found->itemCount() && result.size() < limit; ++item) {
        if (!found->hasResult(item_index(item)))
            result.emplace_back(item);
    }
    return result;
}

bool partition_fold::isReferenced(const record_reference &position,
                                  const schema::log_record_message &record) const
{
    const auto isAt = [&](const record_reference &held) {
        return held.isSet() && held.offset() == position.offset()
               && held.index() == position.index();
    };
    if (const auto *chunk = record.body.Asfile_chunk()) {
        const auto *found = file(file_id(chunk->file_id));
        return found && chunk->chunk < found->chunks().size()
               && isAt(found->chunks()[chunk->chunk].reference);
    }
    if (const auto *result = record.body.Asitem_result()) {
        const auto *found = job(job_id(result->job_id));
        return found && result->item < found->itemCount() && isAt(found->results[result->item]);
    }
    return false;
}

bool partition_fold::hasRecord(const std::string &recordId) const
{
    return m_recent.contains(recordId);
}

} // namespace tamarack
