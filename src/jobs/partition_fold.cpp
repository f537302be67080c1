// Rules of the partition fold, one function per record type.
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/jobs/partition_fold.hpp>

#include <array>
#include <cassert>

namespace tamarack {

namespace {

std::string_view bytesOf(const std::vector<std::uint8_t> &data)
{
    return {reinterpret_cast<const char *>(data.data()), data.size()};
}

} // namespace

partition_fold::partition_fold(partition_id partition, jobs_mutation mutation)
    : m_partition(partition), m_mutation(mutation)
{
}

partition_fold::handler partition_fold::handlerOf(schema::record_body type)
{
    using schema::record_body;
    static const auto Handlers = [] {
        std::array<handler, static_cast<std::size_t>(record_body::MAX) + 1> table{};
        const auto set = [&](record_body body, handler function) {
            table[static_cast<std::size_t>(body)] = function;
        };
        set(record_body::partition_claimed, &partition_fold::applyClaim);
        set(record_body::file_chunk, &partition_fold::applyChunk);
        set(record_body::job_accepted, &partition_fold::applyAccepted);
        set(record_body::job_cancelled, &partition_fold::applyCancelled);
        set(record_body::item_result, &partition_fold::applyResult);
        set(record_body::job_expired, &partition_fold::applyJobExpired);
        set(record_body::file_expired, &partition_fold::applyFileExpired);
        set(record_body::snapshot_part, &partition_fold::applySnapshotPart);
        return table;
    }();
    const auto index = static_cast<std::size_t>(type);
    return index < Handlers.size() ? Handlers[index] : nullptr;
}

fold_changes partition_fold::apply(log_offset offset, const schema::log_batch_message &batch)
{
    assert(offset > m_position);
    m_position = offset;
    fold_changes changes;
    changes.recordId = batch.record_id;
    if (batch.record_id.empty() || batch.records.size() > record_reference::MaxIndex) {
        ++m_malformed;
        return changes;
    }
    const bool isNew = m_recent.insert(batch.record_id);
    changes.duplicate = !isNew;
    if (!isNew && m_mutation != jobs_mutation::RecordIdNotDeduplicated)
        return changes;
    if (batch.reappended_from != 0) {
        applyCopy(offset, batch);
        return changes;
    }
    for (std::uint32_t index = 0; index < batch.records.size(); ++index) {
        const auto *record = batch.records[index].get();
        const auto apply = record ? handlerOf(record->body.type) : nullptr;
        if (!apply || !record->body.value) {
            ++m_malformed;
            continue;
        }
        const record_context context{record_reference(offset, index), batch.written_at_s, &changes};
        (this->*apply)(context, record->body);
    }
    return changes;
}

bool partition_fold::isCurrentEpoch(std::uint64_t recordEpoch) const
{
    return m_mutation == jobs_mutation::EpochNotChecked
           || m_mutation == jobs_mutation::AnyResultWins || recordEpoch == m_epoch.value();
}

void partition_fold::applyClaim(const record_context &context, const body_union &body)
{
    const auto &claim = *body.Aspartition_claimed();
    if (claim.partition != m_partition.value() || claim.vm.empty()) {
        ++m_malformed;
        return;
    }
    if (claim.epoch != m_epoch.value() + 1)
        return;
    m_epoch = epoch_number(claim.epoch);
    m_ownerVm = vm_id(claim.vm);
    m_ownerIncarnation = incarnation_number(claim.incarnation);
    context.changes->epochChanged = true;
}

void partition_fold::applyChunk(const record_context &context, const body_union &body)
{
    const auto &chunk = *body.Asfile_chunk();
    const bool isWellFormed = !chunk.file_id.empty() && !chunk.customer.empty()
                              && chunk.chunk_count <= MaxChunks && chunk.chunk < chunk.chunk_count;
    if (!isWellFormed) {
        ++m_malformed;
        return;
    }
    const file_id id(chunk.file_id);
    const customer_id customer(chunk.customer);
    auto &file =
        m_files.try_emplace(id, id, customer, chunk.filename, chunk.chunk_count).first->second;
    if (file.customer() != customer || file.chunks().size() != chunk.chunk_count) {
        ++m_malformed;
        return;
    }
    if (file.addChunk(chunk.chunk, context.reference, chunk.line_count,
                      stableHash(bytesOf(chunk.data))))
        context.changes->filesCompleted.push_back(id);
}

bool partition_fold::refuseJob(const record_context &context,
                               const schema::job_accepted_message &accepted)
{
    const auto refuse = [&](refusal_reason reason, const job_id &existing) {
        context.changes->jobsRefused.push_back({job_id(accepted.job_id), reason, existing});
        return true;
    };
    const customer_id customer(accepted.customer);
    if (const auto *same = jobByDigest(customer, accepted.idempotency_digest))
        return refuse(refusal_reason::SameJobExists, same->id);
    if (m_jobs.contains(job_id(accepted.job_id)))
        return refuse(refusal_reason::IdTaken, job_id());
    const auto *input = file(file_id(accepted.input_file_id));
    if (!input || !input->isComplete() || input->customer() != customer)
        return refuse(refusal_reason::FileNotComplete, job_id());
    if (accepted.item_count == 0 || accepted.item_count != input->lineCount())
        return refuse(refusal_reason::ItemCountWrong, job_id());
    return false;
}

void partition_fold::applyAccepted(const record_context &context, const body_union &body)
{
    const auto &accepted = *body.Asjob_accepted();
    if (accepted.job_id.empty() || accepted.customer.empty()) {
        ++m_malformed;
        return;
    }
    if (refuseJob(context, accepted))
        return;
    batch_job job;
    job.id = job_id(accepted.job_id);
    job.customer = customer_id(accepted.customer);
    job.idempotencyDigest = accepted.idempotency_digest;
    job.inputFile = file_id(accepted.input_file_id);
    job.endpoint = accepted.endpoint;
    job.model = model_id(accepted.model);
    job.createdAtS = accepted.created_at_s;
    job.completionWindowS = accepted.completion_window_s;
    job.metadataJson = accepted.metadata_json;
    job.acceptedAt = context.reference;
    job.results.resize(accepted.item_count);
    context.changes->jobsAccepted.push_back(job.id);
    addJob(std::move(job));
}

void partition_fold::addJob(batch_job job)
{
    m_jobsByDigest.emplace(std::pair(job.customer, job.idempotencyDigest), job.id);
    m_jobsInOrder.emplace(std::pair(job.customer, job.acceptedAt.packed()), job.id);
    ++m_fileUses[job.inputFile];
    auto id = job.id;
    m_jobs.emplace(std::move(id), std::move(job));
}

void partition_fold::endJob(batch_job &job, const record_context &context)
{
    job.endedAtS = context.writtenAtS;
    context.changes->jobsEnded.push_back(job.id);
}

void partition_fold::applyCancelled(const record_context &context, const body_union &body)
{
    const auto found = m_jobs.find(job_id(body.Asjob_cancelled()->job_id));
    if (found == m_jobs.end() || found->second.isEnded())
        return;
    found->second.cancelled = true;
    context.changes->jobsCancelled.push_back(found->first);
    endJob(found->second, context);
}

void partition_fold::applyResult(const record_context &context, const body_union &body)
{
    const auto &result = *body.Asitem_result();
    const auto found = m_jobs.find(job_id(result.job_id));
    if (found == m_jobs.end() || !isCurrentEpoch(result.epoch))
        return;
    auto &job = found->second;
    if (result.item >= job.itemCount()) {
        ++m_malformed;
        return;
    }
    auto &slot = job.results[result.item];
    const bool succeeded = result.outcome == schema::item_outcome::Succeeded;
    const record_reference reference(context.reference.offset(), context.reference.index(),
                                     succeeded);
    const bool lastWins =
        m_mutation == jobs_mutation::LastResultWins || m_mutation == jobs_mutation::AnyResultWins;
    if (slot.isSet() && lastWins)
        slot = reference;
    if (job.cancelled || slot.isSet())
        return;
    slot = reference;
    ++(succeeded ? job.succeeded : job.failed);
    context.changes->itemsFinished.push_back({job.id, item_index(result.item)});
    if (job.openCount() == 0)
        endJob(job, context);
}

void partition_fold::applyJobExpired(const record_context &context, const body_union &body)
{
    const auto &expired = *body.Asjob_expired();
    const auto found = m_jobs.find(job_id(expired.job_id));
    if (found == m_jobs.end() || !found->second.isEnded() || !isCurrentEpoch(expired.epoch))
        return;
    const auto &job = found->second;
    m_jobsByDigest.erase(std::pair(job.customer, job.idempotencyDigest));
    m_jobsInOrder.erase(std::pair(job.customer, job.acceptedAt.packed()));
    const auto uses = m_fileUses.find(job.inputFile);
    if (--uses->second == 0) {
        m_files.erase(job.inputFile);
        m_fileUses.erase(uses);
    }
    context.changes->jobsRemoved.push_back(job.id);
    m_jobs.erase(found);
}

void partition_fold::applyFileExpired(const record_context &, const body_union &body)
{
    const auto &expired = *body.Asfile_expired();
    const file_id id(expired.file_id);
    if (isCurrentEpoch(expired.epoch) && !isFileUsed(id))
        m_files.erase(id);
}

void partition_fold::applySnapshotPart(const record_context &, const body_union &body)
{
    const auto &part = *body.Assnapshot_part();
    if (part.part >= part.part_count || part.part_count > MaxChunks) {
        ++m_malformed;
        return;
    }
    if (m_snapshotProgress.id != part.snapshot_id)
        m_snapshotProgress = {part.snapshot_id, std::vector<bool>(part.part_count),
                              part.part_count};
    if (part.part >= m_snapshotProgress.seen.size() || m_snapshotProgress.seen[part.part])
        return;
    m_snapshotProgress.seen[part.part] = true;
    --m_snapshotProgress.missing;
    if (m_snapshotProgress.missing == 0)
        m_lastSnapshot = std::max(m_lastSnapshot, log_offset(part.as_of));
}

// A copy creates no job and finishes no item. It only redirects references that still point to the
// copied batch, so late and repeated copies, and copies by other VMs, have no effect.
void partition_fold::applyCopy(log_offset offset, const schema::log_batch_message &batch)
{
    const log_offset from(batch.reappended_from);
    for (std::uint32_t index = 0; index < batch.records.size(); ++index) {
        const auto *record = batch.records[index].get();
        if (!record)
            continue;
        if (const auto *chunk = record->body.Asfile_chunk()) {
            const auto found = m_files.find(file_id(chunk->file_id));
            if (found != m_files.end())
                found->second.moveChunk(chunk->chunk, from, record_reference(offset, index));
        } else if (const auto *result = record->body.Asitem_result()) {
            const auto found = m_jobs.find(job_id(result->job_id));
            if (found == m_jobs.end() || result->item >= found->second.itemCount())
                continue;
            auto &slot = found->second.results[result->item];
            if (slot.isSet() && slot.offset() == from)
                slot = record_reference(offset, index, slot.flag());
        }
    }
}

} // namespace tamarack
