// Runs the items of one partition's jobs, for as long as this VM owns it.
#pragma once

#include <tamarackglade/jobs/append_queue.hpp>
#include <tamarackglade/jobs/attempt_name.hpp>
#include <tamarackglade/jobs/attempt_outcome.hpp>
#include <tamarackglade/jobs/attempt_table.hpp>
#include <tamarackglade/jobs/item_retries.hpp>
#include <tamarackglade/jobs/item_scheduler.hpp>
#include <tamarackglade/jobs/owner_actions.hpp>
#include <tamarackglade/jobs/owner_options.hpp>
#include <tamarackglade/jobs/suspect_queue.hpp>
#include <tamarackglade/jobs/upstream_credit.hpp>

#include <set>
#include <unordered_map>
#include <unordered_set>

namespace tamarack {

/// @brief Hands items to upstreams, retries them within bounds and commits their results in groups.
/// Construct it when the fold shows this VM's claim. Every event appends the actions that follow
/// from it to out. Not thread-safe. The fold must outlive it.
class partition_owner
{
public:
    partition_owner(const partition_fold &fold, owner_options options, time_point now);

    /// @brief A batch was folded. @param changes what partition_fold::apply returned
    void onFolded(const fold_changes &changes, time_point now, owner_actions &out);
    /// @brief The log was just read to its end and the fold is there.
    void onTailConfirmed(time_point now, owner_actions &out);
    /// @brief The log is down: every live peer says so, and none has folded past this fold's
    /// position. Hand-out goes on if the fold was at the log's end until now; an owner that wakes
    /// from a pause during the outage may have missed a cancel, and must read the log first.
    void onOutageConfirmed(time_point now, owner_actions &out);
    /// @brief An upstream would take this many more batch items of a model; replaces what it said
    /// before.
    void onCredits(const upstream_id &upstream, const model_id &model, std::uint32_t items,
                   time_point now, owner_actions &out);
    /// @brief An attempt ended. Repeats and unknown attempts are harmless; a late success of an
    /// attempt that was given up counts if its item is still open.
    void onAttemptResult(const attempt_id &attempt, attempt_outcome outcome,
                         std::vector<std::uint8_t> data, const std::string &customId,
                         time_point now, owner_actions &out);
    void onAppendResult(const std::string &recordId, append_outcome outcome, time_point now,
                        owner_actions &out);
    void onCustomerWeight(const customer_id &customer, std::uint32_t weight);
    /// @brief Time passed. @param wallS seconds since the Unix epoch, for expiries
    void tick(time_point now, std::uint64_t wallS, owner_actions &out);
    /// @brief Queues a batch of the retention planner.
    void enqueue(schema::log_batch_message batch, time_point now, owner_actions &out);
    /// @brief Starts nothing more; a released_partition action follows when all has ended.
    void beginHandover(time_point now, owner_actions &out);

    /// @return when tick has something to do next
    [[nodiscard]] std::optional<time_point> nextDeadline();
    [[nodiscard]] bool isOwner() const { return m_active; }
    [[nodiscard]] epoch_number ownedEpoch() const { return m_epoch; }
    [[nodiscard]] std::size_t runningCount() const { return m_attempts.size(); }
    [[nodiscard]] std::size_t uncommittedCount() const { return m_uncommitted.size(); }
    [[nodiscard]] bool hasQueuedAppends() const { return !m_appends.isEmpty(); }

private:
    void onOwnershipLost(owner_actions &out);
    void onBatchFolded(const std::string &recordId);
    void stopJob(const job_id &job, owner_actions &out);
    void timeOutAttempt(const attempt_id &attempt, time_point now, owner_actions &out);
    std::optional<running_attempt> endAttempt(const attempt_id &attempt);
    void onLateSuccess(const attempt_id &attempt, std::vector<std::uint8_t> data,
                       const std::string &customId, time_point now);
    void recordResult(const item_key &item, schema::item_outcome outcome,
                      std::vector<std::uint8_t> data, const std::string &customId, time_point now);
    void recordError(const item_key &item, std::string_view code, const std::string &customId,
                     time_point now);
    [[nodiscard]] bool isOpen(const item_key &item) const;
    item_retries &retriesOf(const running_attempt &attempt);
    void retryWithoutCounting(const running_attempt &attempt, time_point now);
    void retryAfterFailure(const running_attempt &attempt, const std::string &customId,
                           time_point now);
    void retryAfterCrash(const running_attempt &attempt, const std::string &customId,
                         time_point now);
    void scheduleRetry(const item_key &item, const item_retries &retries, time_point readyAt);
    [[nodiscard]] duration backoff(std::uint32_t tries) const;

    void pump(time_point now, owner_actions &out);
    void startItems(time_point now, owner_actions &out);
    [[nodiscard]] bool mayStart(time_point now) const;
    [[nodiscard]] std::optional<upstream_id> upstreamFor(const suspect_queue::suspect &item) const;
    void reserveForSuspect(time_point now);
    void startSuspect(time_point now, owner_actions &out);
    void releaseReservation();
    /// @param modelsWithoutItems models found to have no item to start now; grows
    bool startOnNextUpstream(time_point now, std::set<model_id> &modelsWithoutItems,
                             owner_actions &out);
    bool startOn(const upstream_id &upstream, time_point now,
                 std::set<model_id> &modelsWithoutItems, owner_actions &out);
    void start(const item_key &item, const upstream_id &upstream, bool alone, time_point now,
               owner_actions &out);

    void commit(time_point now, owner_actions &out);
    void pushResults();
    void expire();
    void expireJobs();
    void expireFiles();
    schema::log_batch_message newBatch();

    const partition_fold &m_fold;
    owner_options m_options;
    partition_id m_partition;
    epoch_number m_epoch;
    vm_id m_vm;
    incarnation_number m_incarnation;
    std::string m_stream;
    bool m_active = true;
    bool m_handingOver = false;
    bool m_released = false;
    time_point m_tailConfirmedAt;
    std::uint64_t m_wallS = 0;
    std::uint64_t m_nextExpiryScanS = 0;
    std::uint64_t m_lastBatchNumber = 0;

    item_scheduler m_scheduler;
    suspect_queue m_suspects;
    attempt_table m_attempts;
    std::unordered_map<item_key, item_retries> m_retries; // only items with a failed attempt
    std::map<upstream_id, upstream_credit> m_credits;
    upstream_id m_lastUpstream;
    // Set while an upstream is being emptied for a suspect, and while the suspect runs there.
    std::optional<upstream_id> m_reservedUpstream;
    std::optional<suspect_queue::suspect> m_reservedSuspect;

    result_buffer m_results;
    append_queue m_appends;
    // Items with a result that is not yet folded: in m_results or in a batch of m_appends.
    std::unordered_map<item_key, std::size_t> m_uncommitted; // to the result's bytes
    std::size_t m_uncommittedBytes = 0;
    std::unordered_map<std::string, std::vector<item_key>> m_batchItems; // by record id
    std::unordered_set<job_id> m_jobsExpiring; // a job_expired is queued
    std::unordered_map<file_id, std::uint64_t> m_unusedSinceS;
};

} // namespace tamarack
