// Search for the newest usable snapshot.
#include <tamarackglade/jobs/snapshot_finder.hpp>

namespace tamarack {

snapshot_finder::snapshot_finder(partition_id partition, log_offset firstRetained,
                                 jobs_mutation mutation)
    : m_partition(partition), m_firstRetained(firstRetained), m_mutation(mutation)
{
}

void snapshot_finder::scan(const schema::log_batch_message &batch)
{
    for (const auto &record : batch.records) {
        if (const auto *part = record ? record->body.Assnapshot_part() : nullptr)
            addPart(*part);
    }
}

void snapshot_finder::addPart(const schema::snapshot_part_message &part)
{
    const log_offset asOf(part.as_of);
    // A snapshot is usable only if all records after asOf are retained and no newer complete
    // snapshot was found.
    const bool isUsable = part.as_of + 1 >= m_firstRetained.value() && asOf > m_bestAsOf
                          && part.part < part.part_count
                          && part.part_count <= partition_fold::MaxChunks;
    if (!isUsable)
        return;
    auto &found = m_candidates[part.snapshot_id];
    if (found.parts.empty())
        found = {asOf, std::vector<std::string>(part.part_count), part.part_count};
    if (part.part >= found.parts.size() || !found.parts[part.part].empty())
        return;
    found.parts[part.part].assign(part.data.begin(), part.data.end());
    --found.missing;
    if (found.missing > 0)
        return;
    m_bestAsOf = asOf;
    m_bestBytes.clear();
    for (const auto &slice : found.parts)
        m_bestBytes += slice;
    std::erase_if(m_candidates, [&](const auto &entry) { return entry.second.asOf <= m_bestAsOf; });
}

absl::StatusOr<partition_fold> snapshot_finder::start() const
{
    if (m_bestBytes.empty()) {
        if (m_firstRetained.value() <= 1)
            return partition_fold(m_partition, m_mutation);
        return absl::DataLossError("records are no longer in the log and no snapshot covers them");
    }
    auto state = decodeState(m_bestBytes);
    if (!state.ok())
        return state.status();
    return partition_fold::fromSnapshot(*state, m_bestAsOf, m_mutation);
}

} // namespace tamarack
