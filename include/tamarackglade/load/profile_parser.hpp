// Reads a load profile from INI text.
#pragma once

#include <tamarackglade/load/load_profile.hpp>

#include <absl/status/status.h>

#include <string>
#include <vector>

namespace tamarack {

/// @brief A profile, and every fault of its text as "line N: key: expected ..., found ...".
struct parsed_profile
{
    load_profile profile;
    std::vector<std::string> faults;
};

/// @brief Parses sections [run], [target NAME], [customer NAME], [class NAME] and [batch NAME].
parsed_profile parseLoadProfile(const std::string &text);

/// @brief Sets one key of [run], as the command line does.
/// @return InvalidArgument with what was expected
absl::Status setRunOption(load_profile &profile, const std::string &key, const std::string &value);

/// @brief Gives customers their keys from text with a line "CUSTOMER KEY" for each.
/// @return InvalidArgument that names the customer without a key
absl::Status setCustomerKeys(load_profile &profile, const std::string &text);

/// @return the faults of a whole profile, empty if it can run
std::vector<std::string> checkLoadProfile(const load_profile &profile);

} // namespace tamarack
