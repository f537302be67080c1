// The state of one partition of batch jobs, folded from its records.
#pragma once

#include <tamarackglade/batches/customer_batch.hpp>
#include <tamarackglade/schema/batches_generated.h>
#include <tamarackglade/store/store_stream.hpp>

#include <algorithm>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace tamarack {

/// @brief Folds records in the order of their positions. All gateways get the same jobs, results
/// and positions of results, whoever wrote the records and however often.
///
/// - The first acceptance of a job counts.
/// - The first final record of an item counts; its place among the job's results never changes.
/// - A failed run counts once.
class batch_fold
{
public:
    /// @param keepTime how long a finished or ended job stays readable
    explicit batch_fold(duration keepTime) : m_keepTime(keepTime) { }

    /// @brief Takes the record at position end(). Malformed records only advance the position.
    /// @return false if the record was malformed
    bool apply(std::string_view record, time_point now);

    /// @brief Continues behind records that the store no longer keeps.
    void skipTo(stream_position position) { m_end = std::max(m_end, position); }
    /// @brief Notes a read, sent at this time, after which the fold holds all that was there.
    void confirm(time_point sentAt);
    /// @brief Forgets jobs that are no longer readable.
    void tick(time_point now);

    /// @return the position of the next record
    [[nodiscard]] stream_position end() const { return m_end; }
    /// @return whether the fold holds all records that were there at this time
    [[nodiscard]] bool completeSince(time_point time) const
    {
        return m_completeAt && *m_completeAt >= time;
    }
    /// @return when the read was sent that showed all records; nullopt before the first
    [[nodiscard]] std::optional<time_point> completeAt() const { return m_completeAt; }
    [[nodiscard]] const customer_batch *find(const job_id &id) const;
    [[nodiscard]] const std::unordered_map<job_id, customer_batch> &jobs() const { return m_jobs; }
    /// @return tokens of a customer's unfinished items on a route
    [[nodiscard]] std::uint64_t waitingTokens(const customer_id &customer,
                                              std::string_view routeName) const;

private:
    void accept(schema::batch_accepted_message &record, time_point now);
    void finish(const schema::item_finished_message &record);
    void fail(const schema::item_failed_message &record, time_point now);
    void endJob(const schema::batch_ended_message &record);

    const duration m_keepTime;
    stream_position m_end;
    std::optional<time_point> m_completeAt;
    std::unordered_map<job_id, customer_batch> m_jobs;
};

} // namespace tamarack
