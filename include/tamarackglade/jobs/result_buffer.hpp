// Buffer of item results that wait for the next group commit.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/jobs/item_key.hpp>
#include <tamarackglade/schema/records.hpp>

#include <optional>
#include <unordered_set>
#include <vector>

namespace tamarack {

/// @brief Groups results into batches, limited by size, count and age, to reduce appends.
class result_buffer
{
public:
    struct limits
    {
        std::size_t maxBytes = 512 * 1024;
        std::size_t maxItems = 2000;
        duration maxDelay = std::chrono::milliseconds(250);
    };

    explicit result_buffer(limits bounds);

    void add(schema::item_result_message result, time_point now);
    /// @brief Removes the results of a job that are not yet in a batch.
    void dropJob(const job_id &job);
    /// @return whether a limit is reached, so that a batch should be appended now
    [[nodiscard]] bool isDue(time_point now) const;
    /// @return when the oldest result is due
    [[nodiscard]] std::optional<time_point> nextDeadline() const;
    /// @brief Removes the results of one batch. @return the results, oldest first
    std::vector<schema::item_result_message> take();
    [[nodiscard]] std::size_t size() const { return m_results.size(); }

private:
    struct entry
    {
        schema::item_result_message result;
        time_point addedAt;
    };

    static std::size_t bytesOf(const schema::item_result_message &result);

    limits m_limits;
    std::vector<entry> m_results; // in order of addedAt
    std::size_t m_bytes = 0;
};

} // namespace tamarack
