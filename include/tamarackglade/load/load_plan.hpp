// Fixes all requests of a run from its seed.
#pragma once

#include <tamarackglade/load/load_profile.hpp>
#include <tamarackglade/load/planned_request.hpp>

#include <absl/status/statusor.h>

#include <random>
#include <vector>

namespace tamarack {

/// @return the requests in order of arrival, the same for the same profile; ResourceExhausted if
/// they exceed the profile's maxRequests
absl::StatusOr<std::vector<planned_request>> planRequests(const load_profile &profile);

/// @return a request of a customer with random class, target and prompt; its arrival is zero
planned_request randomRequest(const load_profile &profile, std::uint32_t customer,
                              std::mt19937_64 &random);

/// @return the text of a request's prompt
std::string promptText(const load_profile &profile, const planned_request &request);

/// @return words of about four bytes, the same for the same seed
std::string seededText(std::uint64_t seed, std::uint32_t tokens);

/// @return the rate at a time of the run, relative to the mean load
double shapeFactor(const load_profile &profile, double seconds);

} // namespace tamarack
