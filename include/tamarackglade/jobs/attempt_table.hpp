// Index of the running attempts of one partition owner.
#pragma once

#include <tamarackglade/jobs/running_attempt.hpp>

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// @brief Stores running attempts by id, start time and upstream.
class attempt_table
{
public:
    void add(const attempt_id &id, running_attempt attempt);
    /// @brief Removes an attempt. @return the attempt, or nothing if it is not in the table
    std::optional<running_attempt> remove(const attempt_id &id);
    /// @return the running attempts of a job; complexity O(running attempts)
    [[nodiscard]] std::vector<attempt_id> ofJob(const job_id &job) const;
    [[nodiscard]] std::vector<attempt_id> all() const;
    [[nodiscard]] const running_attempt &at(const attempt_id &id) const { return m_running.at(id); }
    /// @return the running attempts that started at or before limit, oldest first
    std::vector<attempt_id> startedBy(time_point limit);
    [[nodiscard]] std::optional<time_point> oldestStart();
    [[nodiscard]] std::size_t size() const { return m_running.size(); }
    [[nodiscard]] std::size_t countOn(const upstream_id &upstream) const;

private:
    void dropEndedHead();

    std::unordered_map<attempt_id, running_attempt> m_running;
    std::unordered_map<upstream_id, std::size_t> m_perUpstream; // no entries with 0 attempts
    // Invariant: holds every running attempt in order of start, and may hold attempts that have
    // ended; those at the front are dropped when the queue is read.
    std::deque<std::pair<time_point, attempt_id>> m_byStart;
};

} // namespace tamarack
