// Injected faults of the membership.
#pragma once

#include <cstdint>

namespace tamarack {

/// @brief Faults that tests inject to show that their checks can fail.
enum class membership_mutation : std::uint8_t {
    None,
    ListOnly, // drains that sides announce directly are ignored
    ReviveOlder // an older incarnation replaces a newer one
};

} // namespace tamarack
