// Selects the next item of a partition to run.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/jobs/deficit_round_robin.hpp>
#include <tamarackglade/jobs/item_key.hpp>
#include <tamarackglade/jobs/partition_fold.hpp>

#include <map>
#include <optional>

namespace tamarack {

/// @brief Selects a customer of the model by deficit round robin, then the customer's job with the
/// earliest due time that has an item to run. Retries that are ready precede untried items.
class item_scheduler
{
public:
    explicit item_scheduler(const partition_fold &fold);

    /// @brief Adds a job that has open items; items that have a result are skipped.
    void addJob(const batch_job &job);
    void removeJob(const job_id &job);
    void setWeight(const customer_id &customer, std::uint32_t weight);
    /// @brief Schedules an item again, from readyAt on. Ignored if its job was removed.
    void retry(const item_key &key, time_point readyAt);

    /// @brief Removes the next item of a model from the schedule.
    /// @return the item, or nothing if no item of the model is ready
    std::optional<item_key> next(const model_id &model, time_point now);
    /// @return when the earliest retry becomes ready
    [[nodiscard]] std::optional<time_point> nextRetry() const;

private:
    struct job_progress
    {
        customer_id customer;
        model_id model;
        std::uint64_t dueAtS = 0;
        std::uint32_t nextUntried = 0; // index; all items before it were scheduled or have a result
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
    // Invariant: holds exactly the jobs of m_jobs, by model and customer.
    std::map<model_id, model_queue> m_models;
    std::map<customer_id, std::uint32_t> m_weights;
};

} // namespace tamarack
