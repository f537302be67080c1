// Parts a customer's refusals into its own excess and those within its rate.
#pragma once

#include <tamarackglade/config/customer_options.hpp>
#include <tamarackglade/report/admission_counts.hpp>
#include <tamarackglade/report/burn_mutation.hpp>

#include <cstdint>
#include <map>

namespace tamarack {

/// @brief Replays the whole fleet's requests of a customer, second by second, on one token bucket
/// with the customer's rate and burst. A second that the bucket could have served further has
/// refusals within the rate.
///
/// The bucket is full before the first second and after each gap of unknown seconds, and a second's
/// tokens are there from its beginning. Both can only charge the fleet with more refusals, never
/// fewer; the latter with less than two seconds of the rate for each excess.
/// @return the refusals within the rate by second; seconds without one are left out. Complexity
/// O(seconds).
std::map<std::uint64_t, std::uint64_t>
refusalsWithinRate(const std::map<std::uint64_t, admission_counts> &seconds,
                   const customer_options &customer, burn_mutation mutation = burn_mutation::None);

} // namespace tamarack
