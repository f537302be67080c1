// A customer's rate limit over all entry VMs together.
#pragma once

#include <cstdint>

namespace tamarack {

/// @brief A token bucket's parameters; a request costs one token.
/// In every window of length t the fleet admits at most perSecond * t + burst requests.
struct customer_rate
{
    double perSecond = 0; ///< tokens per second, at least 0
    std::uint32_t burst = 0; ///< tokens

    friend bool operator==(const customer_rate &, const customer_rate &) = default;
};

} // namespace tamarack
