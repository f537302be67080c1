// Counts an entry's requests by the objectives of the manifest.
#pragma once

#include <tamarackglade/config/manifest.hpp>
#include <tamarackglade/report/burn_event.hpp>
#include <tamarackglade/report/burn_interval.hpp>

namespace tamarack {

/// @brief Collects the counts of the current interval. Not thread-safe.
class burn_counter
{
public:
    /// @return one zero count for each token-gap objective that covers the requests
    static std::vector<burn_gap> gapsFor(const manifest &manifest, const customer_id &customer,
                                         objective_class requests);

    /// @brief Counts an ended request for each objective that covers it. Complexity O(objectives).
    void onEvent(const manifest &manifest, const burn_event &event);

    /// @brief Counts an online request that the rate limit admitted or refused.
    /// Customers that the manifest doesn't list are not counted.
    /// @param wallS seconds since the Unix epoch
    void onAdmission(const manifest &manifest, const customer_id &customer, bool admitted,
                     std::uint64_t wallS);

    /// @brief Returns the counts since the last call and resets them.
    /// @return the counts, with the seconds of customers that had a refusal
    burn_interval take();

private:
    burn_interval m_interval;
};

} // namespace tamarack
