// The state of the jobs of one partition, folded from its log stream.
#pragma once

#include <tamarackglade/jobs/batch_job.hpp>
#include <tamarackglade/jobs/fold_changes.hpp>
#include <tamarackglade/jobs/input_file.hpp>
#include <tamarackglade/jobs/jobs_mutation.hpp>
#include <tamarackglade/jobs/recent_records.hpp>

#include <absl/status/statusor.h>

#include <map>
#include <unordered_map>
#include <utility>

namespace tamarack {

/// @brief Folds log records deterministically: the same records in the same order give the same
/// state on every VM. Records that violate a rule have no effect; malformed ones are also counted.
/// The state holds references to payloads in the log, not their bytes. Not thread-safe.
class partition_fold
{
public:
    static constexpr std::uint32_t MaxChunks = 65536;

    explicit partition_fold(partition_id partition, jobs_mutation mutation = jobs_mutation::None);

    /// @brief Restores a state that snapshot() returned at offset asOf.
    /// @return the fold, or InvalidArgument if the state is inconsistent
    static absl::StatusOr<partition_fold>
    fromSnapshot(const schema::partition_state_message &state, log_offset asOf,
                 jobs_mutation mutation = jobs_mutation::None);

    /// @brief Applies the batch at offset; offsets must increase. @return the changes
    fold_changes apply(log_offset offset, const schema::log_batch_message &batch);

    /// @return the whole state in a deterministic order
    [[nodiscard]] schema::partition_state_message snapshot() const;

    [[nodiscard]] partition_id partition() const { return m_partition; }
    /// @return the offset of the last batch applied, 0 before the first
    [[nodiscard]] log_offset position() const { return m_position; }
    [[nodiscard]] epoch_number currentEpoch() const { return m_epoch; }
    [[nodiscard]] const vm_id &ownerVm() const { return m_ownerVm; }
    [[nodiscard]] incarnation_number ownerIncarnation() const { return m_ownerIncarnation; }
    /// @return the job, or nullptr; valid until the next apply; complexity O(log jobs)
    [[nodiscard]] const batch_job *job(const job_id &id) const;
    [[nodiscard]] const batch_job *jobByDigest(const customer_id &customer,
                                               std::uint64_t digest) const;
    /// @return a customer's jobs in the order in which they were accepted
    [[nodiscard]] std::vector<job_id> jobsOf(const customer_id &customer) const;
    [[nodiscard]] const std::map<job_id, batch_job> &jobs() const { return m_jobs; }
    [[nodiscard]] const input_file *file(const file_id &id) const;
    [[nodiscard]] const std::map<file_id, input_file> &files() const { return m_files; }
    [[nodiscard]] bool isFileUsed(const file_id &id) const;
    /// @return the reference of the input line of an item, or nothing if its job does not exist
    [[nodiscard]] std::optional<input_reference> inputOf(const item_key &key) const;
    /// @return up to limit items without a result, starting at the index from
    [[nodiscard]] std::vector<item_index> openItems(const job_id &id, item_index from,
                                                    std::size_t limit) const;
    /// @return whether the state refers to the payload of the record at position
    [[nodiscard]] bool isReferenced(const record_reference &position,
                                    const schema::log_record_message &record) const;
    /// @return whether a batch with this id is among the last recent_records::Capacity batches that
    /// were folded
    [[nodiscard]] bool hasRecord(const std::string &recordId) const;
    /// @return the offset of the state in the newest snapshot of which all parts were folded, or 0
    [[nodiscard]] log_offset lastSnapshot() const { return m_lastSnapshot; }
    [[nodiscard]] std::uint64_t malformedCount() const { return m_malformed; }

private:
    struct record_context
    {
        record_reference reference;
        std::uint64_t writtenAtS = 0;
        fold_changes *changes = nullptr;
    };
    using body_union = schema::record_bodyUnion;
    using handler = void (partition_fold::*)(const record_context &, const body_union &);
    static handler handlerOf(schema::record_body type);

    void applyClaim(const record_context &context, const body_union &body);
    void applyChunk(const record_context &context, const body_union &body);
    void applyAccepted(const record_context &context, const body_union &body);
    void applyCancelled(const record_context &context, const body_union &body);
    void applyResult(const record_context &context, const body_union &body);
    void applyJobExpired(const record_context &context, const body_union &body);
    void applyFileExpired(const record_context &context, const body_union &body);
    void applySnapshotPart(const record_context &context, const body_union &body);
    void applyCopy(log_offset offset, const schema::log_batch_message &batch);

    bool refuseJob(const record_context &context, const schema::job_accepted_message &accepted);
    void addJob(batch_job job);
    void endJob(batch_job &job, const record_context &context);
    bool isCurrentEpoch(std::uint64_t recordEpoch) const;
    absl::Status loadFile(const schema::snapshot_file_message &message);
    absl::Status loadJob(const schema::snapshot_job_message &message);

    struct snapshot_progress
    {
        std::string id;
        std::vector<bool> seen;
        std::uint32_t missing = 0;
    };

    partition_id m_partition;
    jobs_mutation m_mutation;
    log_offset m_position{0};
    epoch_number m_epoch{0};
    vm_id m_ownerVm;
    incarnation_number m_ownerIncarnation{0};
    std::map<file_id, input_file> m_files;
    std::map<job_id, batch_job> m_jobs;
    // Invariant: the three indexes below hold exactly the jobs of m_jobs.
    std::map<std::pair<customer_id, std::uint64_t>, job_id> m_jobsByDigest;
    std::map<std::pair<customer_id, std::uint64_t>, job_id> m_jobsInOrder; // by acceptedAt
    std::map<file_id, std::uint32_t> m_fileUses;
    recent_records m_recent;
    snapshot_progress m_snapshotProgress;
    log_offset m_lastSnapshot{0};
    std::uint64_t m_malformed = 0;
};

} // namespace tamarack
