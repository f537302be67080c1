// Queue of poison suspects: items whose worker process ended and which must run alone.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/jobs/item_key.hpp>

#include <functional>
#include <optional>
#include <vector>

namespace tamarack {

/// @brief Holds poison suspects until their retry time and until an upstream can run them.
class suspect_queue
{
public:
    struct suspect
    {
        item_key item;
        model_id model;
        upstream_id lastUpstream; // where its worker process ended; another one is preferred
        time_point readyAt;
    };

    void add(suspect entry);
    void dropJob(const job_id &job);
    /// @brief Removes the first ready suspect for which canRun returns true.
    /// @return the suspect, or nothing if there is none
    std::optional<suspect> take(time_point now, const std::function<bool(const suspect &)> &canRun);
    /// @return the earliest readyAt, or nothing if the queue is empty
    [[nodiscard]] std::optional<time_point> nextReady() const;

private:
    std::vector<suspect> m_suspects; // in order of arrival
};

} // namespace tamarack
