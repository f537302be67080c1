// Parses and checks load profiles in INI format.
#pragma once

#include <tamarackglade/load/load_profile.hpp>

#include <absl/status/status.h>

#include <string>
#include <vector>

namespace tamarack {

/// @brief A profile and the faults of its text, each as "line N: [section] key: expected X, found
/// Y".
struct parsed_profile
{
    load_profile profile;
    std::vector<std::string> faults;
};

/// @brief Parses sections [run], [target NAME], [customer NAME], [class NAME] and [batch NAME].
parsed_profile parseLoadProfile(const std::string &text);

/// @brief Sets one key of [run] from an option of the command line.
/// @return InvalidArgument with the expected value if the key or value is invalid
absl::Status setRunOption(load_profile &profile, const std::string &key, const std::string &value);

/// @brief Sets the keys of all customers from a text with a line "CUSTOMER KEY" for each.
/// @return InvalidArgument if a line is malformed or a customer has no key
absl::Status setCustomerKeys(load_profile &profile, const std::string &text);

/// @return the faults of a complete profile; empty if it can be run
std::vector<std::string> checkLoadProfile(const load_profile &profile);

} // namespace tamarack
