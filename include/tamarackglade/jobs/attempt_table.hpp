// The attempts of one owner that are running.
#pragma once

#include <tamarackglade/jobs/running_attempt.hpp>

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace tamarack {

class attempt_table
{
public:
    void add(const attempt_id &id, running_attempt attempt);
    /// @return the attempt, which is then no longer in the table
    std::optional<running_attempt> remove(const attempt_id &id);
    /// @return the attempts of a job; complexity O(running)
    [[nodiscard]] std::vector<attempt_id> ofJob(const job_id &job) const;
    [[nodiscard]] std::vector<attempt_id> all() const;
    [[nodiscard]] const running_attempt &at(const attempt_id &id) const { return m_running.at(id); }
    /// @return attempts started at or before the limit, oldest first
    std::vector<attempt_id> startedBy(time_point limit);
    [[nodiscard]] std::optional<time_point> oldestStart();
    [[nodiscard]] std::size_t size() const { return m_running.size(); }
    [[nodiscard]] std::size_t countOn(const upstream_id &upstream) const;

private:
    void dropEndedHead();

    std::unordered_map<attempt_id, running_attempt> m_running;
    std::unordered_map<upstream_id, std::size_t> m_perUpstream; // no zero entries
    // Invariant: holds every running attempt in order of start, and some that have ended.
    std::deque<std::pair<time_point, attempt_id>> m_byStart;
};

} // namespace tamarack
