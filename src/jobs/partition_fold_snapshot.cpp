// Conversion of a partition fold to and from a snapshot.
#include <tamarackglade/jobs/partition_fold.hpp>

namespace tamarack {

namespace {

schema::snapshot_file_message fileMessage(const input_file &file)
{
    schema::snapshot_file_message message;
    message.file_id = file.id().value();
    message.customer = file.customer().value();
    message.filename = file.name();
    for (const auto &chunk : file.chunks()) {
        message.chunks.push_back(chunk.reference.packed());
        message.line_counts.push_back(chunk.lineCount);
        message.digests.push_back(chunk.digest);
    }
    return message;
}

schema::snapshot_job_message jobMessage(const batch_job &job)
{
    schema::snapshot_job_message message;
    message.job_id = job.id.value();
    message.customer = job.customer.value();
    message.idempotency_digest = job.idempotencyDigest;
    message.input_file_id = job.inputFile.value();
    message.endpoint = job.endpoint;
    message.model = job.model.value();
    message.created_at_s = job.createdAtS;
    message.completion_window_s = job.completionWindowS;
    message.metadata_json = job.metadataJson;
    message.accepted_at = job.acceptedAt.packed();
    message.ended_at_s = job.endedAtS;
    message.cancelled = job.cancelled;
    message.results.reserve(job.results.size());
    for (const auto &reference : job.results)
        message.results.push_back(reference.packed());
    return message;
}

} // namespace

schema::partition_state_message partition_fold::snapshot() const
{
    schema::partition_state_message state;
    state.partition = m_partition.value();
    state.epoch = m_epoch.value();
    state.vm = m_ownerVm.value();
    state.incarnation = m_ownerIncarnation.value();
    for (const auto &[id, file] : m_files)
        state.files.push_back(std::make_unique<schema::snapshot_file_message>(fileMessage(file)));
    for (const auto &[id, job] : m_jobs)
        state.jobs.push_back(std::make_unique<schema::snapshot_job_message>(jobMessage(job)));
    state.recent_records.assign(m_recent.hashes().begin(), m_recent.hashes().end());
    return state;
}

absl::StatusOr<partition_fold>
partition_fold::fromSnapshot(const schema::partition_state_message &state, log_offset asOf,
                             jobs_mutation mutation)
{
    partition_fold fold(partition_id(state.partition), mutation);
    fold.m_position = asOf;
    fold.m_lastSnapshot = asOf;
    fold.m_epoch = epoch_number(state.epoch);
    fold.m_ownerVm = vm_id(state.vm);
    fold.m_ownerIncarnation = incarnation_number(state.incarnation);
    fold.m_recent.load(state.recent_records);
    for (const auto &file : state.files) {
        if (auto status = fold.loadFile(*file); !status.ok())
            return status;
    }
    for (const auto &job : state.jobs) {
        if (auto status = fold.loadJob(*job); !status.ok())
            return status;
    }
    return fold;
}

absl::Status partition_fold::loadFile(const schema::snapshot_file_message &message)
{
    const auto count = message.chunks.size();
    if (count > MaxChunks || message.line_counts.size() != count || message.digests.size() != count)
        return absl::InvalidArgumentError("snapshot: chunk lists of a file differ in length");
    const file_id id(message.file_id);
    input_file file(id, customer_id(message.customer), message.filename,
                    static_cast<std::uint32_t>(count));
    for (std::uint32_t chunk = 0; chunk < count; ++chunk) {
        file.addChunk(chunk, record_reference::fromPacked(message.chunks[chunk]),
                      message.line_counts[chunk], message.digests[chunk]);
    }
    m_files.emplace(id, std::move(file));
    return absl::OkStatus();
}

absl::Status partition_fold::loadJob(const schema::snapshot_job_message &message)
{
    if (!m_files.contains(file_id(message.input_file_id)))
        return absl::InvalidArgumentError("snapshot: a job's input file is missing");
    batch_job job;
    job.id = job_id(message.job_id);
    job.customer = customer_id(message.customer);
    job.idempotencyDigest = message.idempotency_digest;
    job.inputFile = file_id(message.input_file_id);
    job.endpoint = message.endpoint;
    job.model = model_id(message.model);
    job.createdAtS = message.created_at_s;
    job.completionWindowS = message.completion_window_s;
    job.metadataJson = message.metadata_json;
    job.acceptedAt = record_reference::fromPacked(message.accepted_at);
    job.endedAtS = message.ended_at_s;
    job.cancelled = message.cancelled;
    job.results.reserve(message.results.size());
    for (const auto packed : message.results) {
        const auto reference = record_reference::fromPacked(packed);
        job.results.push_back(reference);
        if (reference.isSet())
            ++(reference.flag() ? job.succeeded : job.failed);
    }
    addJob(std::move(job));
    return absl::OkStatus();
}

} // namespace tamarack
