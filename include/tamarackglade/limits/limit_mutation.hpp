// Injected faults of the rate limits, with which tests show that their oracle can fail.
#pragma once

#include <cstdint>

namespace tamarack {

/// @brief A deliberate fault; production code uses None.
enum class limit_mutation : std::uint8_t {
    None,
    LenderIgnoresLoans, ///< level + loans may exceed the burst
    NewHomeStartsFull, ///< a new home's bucket is full and usable at once
    HomeIgnoresLease, ///< a home lends although its lease has lapsed
    ExpiryFromReceipt, ///< a loan's lifetime starts when the grant arrives
    PeerHomeKeepsBuckets, ///< a home named by a peer keeps buckets from before another entry was
                          ///< home
};

} // namespace tamarack
