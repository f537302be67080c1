// Counts what an entry's requests mean for the objectives.
#pragma once

#include <tamarackglade/config/manifest.hpp>
#include <tamarackglade/report/burn_event.hpp>
#include <tamarackglade/report/burn_interval.hpp>

namespace tamarack {

/// @brief Collects the counts of the current interval. Not thread-safe.
class burn_counter
{
public:
    /// @return the token-gap objectives for a customer's requests, with empty counts
    static std::vector<burn_gap> gapsFor(const manifest &manifest, const customer_id &customer,
                                         objective_class requests);

    /// @brief Counts an ended request. Complexity O(objectives).
    void onEvent(const manifest &manifest, const burn_event &event);

    /// @brief Counts a verdict of the rate limit on an online request.
    /// @param wallS seconds since the Unix epoch
    void onAdmission(const manifest &manifest, const customer_id &customer, bool admitted,
                     std::uint64_t wallS);

    /// @return what was counted since the last take
    burn_interval take();

private:
    burn_interval m_interval;
};

} // namespace tamarack
