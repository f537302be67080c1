// State of one partition of batch jobs, folded from its records.
#pragma once

#include <tamarackglade/batches/customer_batch.hpp>
#include <tamarackglade/schema/batches_generated.h>
#include <tamarackglade/store/store_stream.hpp>

#include <algorithm>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace tamarack {

/// @brief Folds records in the order of their positions. All gateways compute the same jobs,
/// results and order of results, also if several gateways wrote the same record or one wrote it
/// twice.
///
/// - The first acceptance of a job is used; later ones are ignored.
/// - The first final record of an item is used; its place in the job's results never changes.
/// - Each failed run is counted once.
class batch_fold
{
public:
    /// @param keepTime how long a finished or ended job stays readable, from its first read
    explicit batch_fold(duration keepTime) : m_keepTime(keepTime) { }

    /// @brief Applies the record at position end(). A malformed record only advances the position.
    /// @return false if the record was malformed
    bool apply(std::string_view record, time_point now);

    /// @brief Advances end() past records that the store no longer keeps.
    void skipTo(stream_position position) { m_end = std::max(m_end, position); }
    /// @brief Records that the fold contains all records that existed when a read was sent.
    void confirm(time_point sentAt);
    /// @brief Removes jobs whose keep time is over. A job with unfinished items is kept for at
    /// least twice its retention.
    void tick(time_point now);

    /// @return the position of the next record
    [[nodiscard]] stream_position end() const { return m_end; }
    /// @return whether the fold contains all records that existed at this time
    [[nodiscard]] bool completeSince(time_point time) const
    {
        return m_completeAt && *m_completeAt >= time;
    }
    /// @return the time up to which the fold is known to be complete: when the last complete read
    /// was sent; nullopt before the first
    [[nodiscard]] std::optional<time_point> completeAt() const { return m_completeAt; }
    /// @return the job, or null
    [[nodiscard]] const customer_batch *find(const batch_id &id) const;
    [[nodiscard]] const std::unordered_map<batch_id, customer_batch> &jobs() const
    {
        return m_jobs;
    }
    /// @brief Sets the fields of a record that name its job.
    /// @tparam Record a message of the item or the end of a job
    template <class Record>
    void nameJob(Record &record, const batch_id &id) const
    {
        record.customer = id.customer.value();
        record.customer_job = id.job.value();
        const auto first = m_firstOfId.find(id.job);
        const bool isFirst = first != m_firstOfId.end() && first->second == id.customer;
        record.job = isFirst ? id.job.value() : std::string();
    }
    /// @return the tokens of a customer's unfinished items on a route, without ended jobs
    [[nodiscard]] std::uint64_t waitingTokens(const customer_id &customer,
                                              std::string_view routeName) const;

private:
    void accept(schema::batch_accepted_message &record, time_point now);
    void finish(const schema::item_finished_message &record);
    void fail(const schema::item_failed_message &record, time_point now);
    void endJob(const schema::batch_ended_message &record);
    /// @return the job that the record names, or null
    template <class Record>
    customer_batch *jobOf(const Record &record);

    const duration m_keepTime;
    stream_position m_end;
    std::optional<time_point> m_completeAt;
    std::unordered_map<batch_id, customer_batch> m_jobs;
    // Customers whose jobs were the first accepted under their ids; only of jobs in m_jobs.
    std::unordered_map<job_id, customer_id> m_firstOfId;
};

} // namespace tamarack
