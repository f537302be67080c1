// One partition's batch jobs in an entry: the fold of its stream, and the owner's work while this
// process owns the partition.
#pragma once

#include <tamarackglade/config/config_state.hpp>
#include <tamarackglade/entry/batch_dispatcher.hpp>
#include <tamarackglade/entry/log_batch_cache.hpp>
#include <tamarackglade/jobs/claim_policy.hpp>
#include <tamarackglade/jobs/partition_fold.hpp>
#include <tamarackglade/jobs/partition_owner.hpp>
#include <tamarackglade/jobs/retention_planner.hpp>
#include <tamarackglade/metrics/metric_registry.hpp>
#include <tamarackglade/node/config_store.hpp>
#include <tamarackglade/platform/log_tailer.hpp>
#include <tamarackglade/wire/peer_directory.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace tamarack {

/// @brief Services that the runners of a process share; must outlive the runners.
struct job_context
{
    io_thread &thread;
    platform_client &platform;
    peer_directory &peers;
    batch_dispatcher &dispatcher;
    config_store &config;
    metric_registry &metrics;
    peer_identity self;
    jobs_mutation mutation = jobs_mutation::None;
};

/// @brief Reads and folds a partition's stream, claims the partition and executes its owner's
/// actions. Used on the control thread only; its fibers may interleave at every I/O.
class partition_runner
{
public:
    /// @brief Called after each folded batch.
    using fold_listener = std::function<void(const fold_changes &)>;

    partition_runner(const job_context &context, partition_id partition);

    /// @brief Starts reading the stream.
    void start();

    [[nodiscard]] partition_id partition() const { return m_partition; }
    /// @return the fold, or null while the stream's beginning is being read
    [[nodiscard]] const partition_fold *fold() const { return m_fold.get(); }
    /// @brief If the last read of the stream failed, reads it again first; waits at most this long.
    void refresh(std::chrono::milliseconds timeout);
    [[nodiscard]] log_batch_cache &batchCache() { return m_batchCache; }
    [[nodiscard]] bool caughtUp() const { return m_caughtUp; }
    /// @return the models of unfinished jobs, if this process owns the partition
    [[nodiscard]] std::set<model_id> modelsOfUnfinishedJobs() const;

    /// @brief Adds a listener.
    /// @return its number, for removeListener
    std::uint64_t addListener(fold_listener listener);
    void removeListener(std::uint64_t number);

    /// @brief Appends a batch to the stream.
    /// @return the outcome; Unknown if the log's answer was lost
    append_outcome append(const schema::log_batch_message &batch);

    /// @brief Passes the listed entries to the claim policy.
    void onLiveVms(const std::vector<live_vm> &vms);
    /// @brief Handles the message that the owner of an epoch released the partition.
    void onReleased(epoch_number released);
    /// @brief Assigns credits on one side for one model to the owner.
    void onCredits(const vm_id &side, const model_id &model, std::uint32_t items);
    /// @brief Applies the customers' weights of a manifest.
    void onWeights(const manifest &manifest);
    /// @brief Claims the partition or advances its owner and retention; called periodically.
    void tick();
    /// @brief Starts no more items and hands the partition over when all running attempts have
    /// ended.
    void beginHandover();
    /// @return whether this process does not own the partition
    [[nodiscard]] bool isReleased() const { return m_owner == nullptr; }

private:
    void load();
    bool loadOnce();
    void startTail();
    void onRead(const log_read &read, bool caughtUp);
    void applyEntry(const log_entry &entry);
    void updateOwner();
    void claim(const partition_claim &partitionClaim);
    void checkOwnerAlive();
    void perform(const owner_actions &actions);
    void startItem(const start_item &action);
    absl::StatusOr<std::string> inputLine(const input_reference &input);
    void runItem(const start_item &action, const std::string &line);
    void onAnswer(const attempt_id &attempt, const std::string &customId,
                  const batch_answer &answer);
    void endAttempt(const attempt_id &attempt, attempt_outcome outcome, const std::string &data,
                    const std::string &customId);
    void sendAppend(const append_batch &action);
    void announceRelease(epoch_number released);
    void runRetentionStep();
    void advanceHorizon();
    void readForRetention(log_offset offset);

    job_context m_context;
    partition_id m_partition;
    std::string m_stream;
    log_batch_cache m_batchCache;
    std::unique_ptr<partition_fold> m_fold; // null until the stream's beginning is read
    log_offset m_firstRetained{1};
    bool m_caughtUp = false;
    bool m_leaving = false;
    bool m_claiming = false; // the append of a claim is running
    claim_policy m_claims;
    std::unique_ptr<partition_owner> m_owner; // set while the fold names this process as owner
    std::unique_ptr<retention_planner> m_retention; // set together with m_owner
    // Offsets and the wall-clock times (seconds) at which they were written, oldest first; used to
    // compute the retention horizon.
    std::deque<std::pair<log_offset, std::uint64_t>> m_written;
    // The dispatcher's attempts of running items, by the owner's attempt.
    std::map<attempt_id, attempt_id> m_wireAttempts;
    std::map<std::uint64_t, fold_listener> m_listeners;
    std::uint64_t m_lastListener = 0;
    std::unique_ptr<log_tailer> m_tailer; // last member, so that it is destroyed first
};

} // namespace tamarack
