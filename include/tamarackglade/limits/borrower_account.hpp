// A home's record of the tokens that one borrower holds.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/core/time.hpp>

#include <cstdint>

namespace tamarack {

/// @brief One borrower's loans of one customer.
struct borrower_account
{
    incarnation_number incarnation;
    std::uint64_t lastRequestSequence = 0; // requests up to this number are ignored
    std::uint64_t lastGrantSequence = 0; // the request that lastGrantTokens answered
    std::uint32_t lastGrantTokens = 0;
    // Upper bound of the unspent tokens that the borrower holds or can still accept.
    std::uint32_t outstanding = 0;
    time_point expiry{}; // outstanding becomes 0 at this time
};

} // namespace tamarack
