// Replays a customer's seconds on one token bucket.
#include <tamarackglade/report/rate_replay.hpp>

#include <algorithm>
#include <cmath>
#include <optional>

namespace tamarack {

std::map<std::uint64_t, std::uint64_t>
refusalsWithinRate(const std::map<std::uint64_t, admission_counts> &seconds,
                   const customer_options &customer, burn_mutation mutation)
{
    std::map<std::uint64_t, std::uint64_t> within;
    const double burst = customer.burst;
    double level = burst;
    std::optional<std::uint64_t> last;
    for (const auto &[second, requests] : seconds) {
        const bool follows = last && second == *last + 1;
        // Tokens of a second can be spent within it, so the level may exceed the burst by one
        // second of the rate.
        level = follows ? std::min(burst, level) + customer.ratePerSecond
                        : burst + customer.ratePerSecond;
        last = second;
        const auto available = static_cast<std::uint64_t>(std::floor(level));
        const std::uint64_t unused =
            available > requests.admitted ? available - requests.admitted : 0;
        const std::uint64_t refused = mutation == burn_mutation::CountOwnExcess
                                          ? requests.refused
                                          : std::min(unused, requests.refused);
        if (refused > 0)
            within[second] = refused;
        level = std::max(0.0, level - static_cast<double>(requests.admitted + refused));
    }
    return within;
}

} // namespace tamarack
