// Reports the outcome of one run to the prompt quarantine.
#pragma once

#include <tamarackglade/gateway/attempt_result.hpp>
#include <tamarackglade/gateway/quarantine_exchange.hpp>
#include <tamarackglade/placement/live_upstream.hpp>

namespace tamarack {

/// @brief Observes a run from its sending to its end. Lives as long as the run.
class run_observer
{
public:
    /// @param parts shared parts of the prompt; must outlive the observer
    run_observer(prompt_quarantine &quarantine, quarantine_exchange &exchange,
                 const live_upstream &upstream, const std::vector<prompt_part_id> &parts,
                 const request_id &request);

    /// @brief Call for each event; only the first of the run counts.
    void onEvent();
    /// @brief Call once, at the end of the run.
    void onEnd(const attempt_result &result);

private:
    prompt_quarantine &m_quarantine;
    quarantine_exchange &m_exchange;
    const group_id m_group;
    const std::vector<prompt_part_id> &m_parts;
    early_break m_break; // if the run ends as one; brokeAt is set at its end
    bool m_hasEvents = false;
};

} // namespace tamarack
