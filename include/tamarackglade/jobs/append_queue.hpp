// The appends of one partition's owner: one at a time, in order, until the fold shows each.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/jobs/append_outcome.hpp>
#include <tamarackglade/schema/records.hpp>

#include <deque>
#include <optional>
#include <string>

namespace tamarack {

/// @brief Retries a batch under its record id until it is folded, then goes on with the next.
/// One append in flight keeps the stream in the order in which the owner decided.
class append_queue
{
public:
    append_queue(duration retryDelay, duration timeout);

    void push(schema::log_batch_message batch);
    [[nodiscard]] bool isEmpty() const { return m_batches.empty(); }
    [[nodiscard]] std::size_t size() const { return m_batches.size(); }

    /// @return the batch to send now, if any; it stays queued until it is folded
    std::optional<schema::log_batch_message> next(time_point now);
    void onResult(const std::string &recordId, append_outcome outcome, time_point now);
    /// @return whether the batch at the head was the one folded; it is done
    bool onFolded(const std::string &recordId);
    [[nodiscard]] std::optional<time_point> nextDeadline() const;

private:
    duration m_retryDelay;
    duration m_timeout;
    std::deque<schema::log_batch_message> m_batches;
    // Invariant: unset when the head may be sent at once, else when it may be sent again.
    std::optional<time_point> m_retryAt;
};

} // namespace tamarack
