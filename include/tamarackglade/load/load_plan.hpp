// Plans all requests of a load run, deterministically by its seed.
#pragma once

#include <tamarackglade/load/load_profile.hpp>
#include <tamarackglade/load/planned_request.hpp>

#include <absl/status/statusor.h>

#include <random>
#include <vector>

namespace tamarack {

/// @return the requests in order of arrival, equal for equal profiles; ResourceExhausted if there
/// are more than the profile's maxRequests
absl::StatusOr<std::vector<planned_request>> planRequests(const load_profile &profile);

/// @return a request of a customer with random class, target and prompt; its arrival is zero
planned_request randomRequest(const load_profile &profile, std::uint32_t customer,
                              std::mt19937_64 &random);

/// @return the text of a request's prompt
std::string promptText(const load_profile &profile, const planned_request &request);

/// @return a text of one four-byte word for each token, equal for equal seeds
std::string seededText(std::uint64_t seed, std::uint32_t tokens);

/// @return the arrival rate at a time of the run, as a multiple of the base rate
/// @param seconds since the start of the run
double shapeFactor(const load_profile &profile, double seconds);

} // namespace tamarack
