// Runs the items of the jobs of one partition while this VM owns the partition.
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

/// @brief Assigns items to upstreams, retries them within limits and commits their results in
/// groups. Construct it when the fold shows this VM as the owner. Every event handler appends the
/// resulting actions to out. Not thread-safe. The fold must outlive it.
class partition_owner
{
public:
    partition_owner(const partition_fold &fold, owner_options options, time_point now);

    /// @brief Handles a folded batch. @param changes the result of partition_fold::apply
    void onFolded(const fold_changes &changes, time_point now, owner_actions &out);
    /// @brief Records that the log was just read to its end and the fold contains all of it.
    void onTailConfirmed(time_point now, owner_actions &out);
    /// @brief Records that the log is down: every live peer reports it, and no peer has folded past
    /// the position of this fold. Items continue to start if the fold was at the end of the log
    /// within owner_options::maxTailAge. An owner that resumes from a pause during the outage may
    /// have missed a cancel and must read the log first.
    void onOutageConfirmed(time_point now, owner_actions &out);
    /// @brief Replaces the credit of an upstream.
    /// @param items the number of additional batch items of the model that it accepts
    void onCredits(const upstream_id &upstream, const model_id &model, std::uint32_t items,
                   time_point now, owner_actions &out);
    /// @brief Handles the end of an attempt. Repeated results and unknown attempts are ignored; a
    /// late success of an attempt that timed out counts if its item is still open.
    void onAttemptResult(const attempt_id &attempt, attempt_outcome outcome,
                         std::vector<std::uint8_t> data, const std::string &customId,
                         time_point now, owner_actions &out);
    void onAppendResult(const std::string &recordId, append_outcome outcome, time_point now,
                        owner_actions &out);
    void onCustomerWeight(const customer_id &customer, std::uint32_t weight);
    /// @brief Times out attempts, expires jobs and files and starts what is due.
    /// @param wallS seconds since the Unix epoch, for the expiry of jobs and files
    void tick(time_point now, std::uint64_t wallS, owner_actions &out);
    /// @brief Queues a batch of the retention planner.
    void enqueue(schema::log_batch_message batch, time_point now, owner_actions &out);
    /// @brief Stops starting items. A released_partition action follows when all attempts have
    /// ended and all results are folded.
    void beginHandover(time_point now, owner_actions &out);

    /// @return when tick must be called next, or nothing if no timer is pending
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
    /// @param modelsWithoutItems models without an item that can start now; models are added to it
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
    // Only items with an attempt that ended without a result.
    std::unordered_map<item_key, item_retries> m_retries;
    std::map<upstream_id, upstream_credit> m_credits;
    upstream_id m_lastUpstream;
    // Set while an upstream finishes its attempts for a poison suspect that must run alone, and
    // while the suspect runs there.
    std::optional<upstream_id> m_reservedUpstream;
    std::optional<suspect_queue::suspect> m_reservedSuspect;

    result_buffer m_results;
    append_queue m_appends;
    // Items with a result that is not yet folded, in m_results or in a batch of m_appends.
    std::unordered_map<item_key, std::size_t> m_uncommitted; // value: bytes of the result
    std::size_t m_uncommittedBytes = 0;
    std::unordered_map<std::string, std::vector<item_key>> m_batchItems; // by record id
    std::unordered_set<job_id> m_jobsExpiring; // jobs with a queued job_expired record
    std::unordered_map<file_id, std::uint64_t> m_unusedSinceS;
};

} // namespace tamarack
