// Chooses which item of a partition runs next.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/jobs/deficit_round_robin.hpp>
#include <tamarackglade/jobs/item_key.hpp>
#include <tamarackglade/jobs/partition_fold.hpp>

#include <map>
#include <optional>

namespace tamarack {

/// @brief Deficit round robin over the customers of a model, then the job that is due first,
/// then its retries that are ready, then its next fresh item.
class item_scheduler
{
public:
    explicit item_scheduler(const partition_fold &fold);

    /// @brief Adds a job that has open items; items that have a result are skipped.
    void addJob(const batch_job &job);
    void removeJob(const job_id &job);
    void setWeight(const customer_id &customer, std::uint32_t weight);
    /// @brief Offers an item again from readyAt on. Ignored if its job was removed.
    void retry(const item_key &key, time_point readyAt);

    /// @return the next item for a model, which is then no longer offered
    std::optional<item_key> next(const model_id &model, time_point now);
    /// @return when the earliest retry becomes ready
    [[nodiscard]] std::optional<time_point> nextRetry() const;

private:
    struct job_progress
    {
        customer_id customer;
        model_id model;
        std::uint64_t dueAtS = 0;
        std::uint32_t nextUntried = 0; // items before it were offered or have a result
        std::multimap<time_point, item_index> retries;
    };
    using due_key = std::pair<std::uint64_t, job_id>;
    struct model_queue
    {
        deficit_round_robin ring;
        std::map<customer_id, std::map<due_key, job_progress *>> jobs;
    };

    std::optional<item_index> takeItem(const job_id &id, job_progress &progress, time_point now);

    const partition_fold &m_fold;
    std::map<job_id, job_progress> m_jobs;
    // Invariant: holds exactly the jobs of m_jobs, under their model and customer.
    std::map<model_id, model_queue> m_models;
    std::map<customer_id, std::uint32_t> m_weights;
};

} // namespace tamarack
