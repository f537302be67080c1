// Faults that tests inject into the burn report to prove that their checks detect them.
#pragma once

#include <cstdint>

namespace tamarack {

enum class burn_mutation : std::uint8_t {
    None,
    CountOwnExcess, // counts refusals above the customer's rate too
    CountRepeats, // counts each copy of a record
    IgnoreWindows, // counts all data in every window
};

} // namespace tamarack
