// Items whose worker died, which must run alone next.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/jobs/item_key.hpp>

#include <functional>
#include <optional>
#include <vector>

namespace tamarack {

/// @brief Holds suspects until they are ready and an upstream other than their last is free.
class suspect_queue
{
public:
    struct suspect
    {
        item_key item;
        model_id model;
        upstream_id lastUpstream; // where its worker died
        time_point readyAt;
    };

    void add(suspect entry);
    void dropJob(const job_id &job);
    /// @return the first ready suspect for which canRun returns true, which is then no longer held
    std::optional<suspect> take(time_point now, const std::function<bool(const suspect &)> &canRun);
    [[nodiscard]] std::optional<time_point> nextReady() const;

private:
    std::vector<suspect> m_suspects; // in order of arrival
};

} // namespace tamarack
