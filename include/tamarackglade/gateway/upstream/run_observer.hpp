// Reports the outcome of one run to the quarantines of prompt parts and of requests.
#pragma once

#include <tamarackglade/gateway/exchange/quarantine_exchange.hpp>
#include <tamarackglade/gateway/upstream/attempt_result.hpp>
#include <tamarackglade/placement/live_upstream.hpp>

namespace tamarack {

/// @brief What is run, as far as the quarantines are concerned.
struct observed_request
{
    const std::vector<prompt_part_id> &parts; // shared parts of the prompt
    request_fingerprint fingerprint;
    bool isBatchItem = false;
};

/// @brief Observes a run from its sending to its end. Lives as long as the run.
class run_observer
{
public:
    /// @param request its parts must outlive the observer
    run_observer(prompt_quarantine &parts, request_quarantine &requests,
                 quarantine_exchange &exchange, const live_upstream &upstream,
                 const observed_request &request);

    /// @brief Call for each event; only the first of the run counts.
    void onEvent();
    /// @brief Call once, at the end of the run.
    void onEnd(const attempt_result &result);

private:
    void onBroken(time_point now);

    prompt_quarantine &m_partQuarantine;
    request_quarantine &m_requestQuarantine;
    quarantine_exchange &m_exchange;
    const group_id m_group;
    const std::vector<prompt_part_id> &m_parts;
    broken_run m_break; // if the run ends as one; its parts and brokeAt are set at the end
    bool m_hasEvents = false;
};

} // namespace tamarack
