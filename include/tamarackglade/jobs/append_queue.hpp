// Queue of log batches that are appended one at a time, in order, with retries.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/jobs/append_outcome.hpp>
#include <tamarackglade/schema/records.hpp>

#include <deque>
#include <optional>
#include <string>

namespace tamarack {

/// @brief Sends the batch at the head until it is folded, always under the same record id, then
/// sends the next one. Only one append is in flight, so batches reach the stream in queue order.
class append_queue
{
public:
    /// @param retryDelay delay before resending after an append that did not succeed
    /// @param timeout delay before resending when an append has no result
    append_queue(duration retryDelay, duration timeout);

    void push(schema::log_batch_message batch);
    [[nodiscard]] bool isEmpty() const { return m_batches.empty(); }
    [[nodiscard]] std::size_t size() const { return m_batches.size(); }

    /// @return the batch to send now, if any; it stays queued until it is folded
    std::optional<schema::log_batch_message> next(time_point now);
    /// @brief Schedules a resend if the append of the head did not succeed.
    void onResult(const std::string &recordId, append_outcome outcome, time_point now);
    /// @brief Removes the head if recordId is its id.
    /// @return true if the head was removed
    bool onFolded(const std::string &recordId);
    /// @return when the head may be sent again, or nothing if it may be sent now or there is none
    [[nodiscard]] std::optional<time_point> nextDeadline() const;

private:
    duration m_retryDelay;
    duration m_timeout;
    std::deque<schema::log_batch_message> m_batches;
    // Earliest time of the next send of the head; unset if it may be sent at once.
    std::optional<time_point> m_retryAt;
};

} // namespace tamarack
