// Faults that tests plant in the membership, to show that their checks can fail.
#pragma once

#include <cstdint>

namespace tamarack {

enum class membership_mutation : std::uint8_t {
    None,
    ListOnly, // drains that sides announce directly are ignored
    ReviveOlder // an older incarnation replaces a newer one
};

} // namespace tamarack
