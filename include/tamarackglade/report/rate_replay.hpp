// Separates a customer's refusals above its rate from those within its rate.
#pragma once

#include <tamarackglade/config/customer_options.hpp>
#include <tamarackglade/report/admission_counts.hpp>
#include <tamarackglade/report/burn_mutation.hpp>

#include <cstdint>
#include <map>

namespace tamarack {

/// @brief Replays a customer's requests to the whole fleet, second by second, on one token bucket
/// with the customer's rate and burst. Refusals for which the bucket still had tokens are within
/// the rate.
///
/// The bucket is full before the first second and after each gap in the seconds, and the tokens of
/// a second are available from its start. Both can only overstate the refusals within the rate,
/// never understate them. The early tokens overstate them by less than two seconds of the rate for
/// each excess.
/// Complexity O(seconds).
/// @param seconds admitted and refused requests by second since the Unix epoch
/// @param customer its rate and burst
/// @return the refusals within the rate by second, without seconds that have none
std::map<std::uint64_t, std::uint64_t>
refusalsWithinRate(const std::map<std::uint64_t, admission_counts> &seconds,
                   const customer_options &customer, burn_mutation mutation = burn_mutation::None);

} // namespace tamarack
