// Seeded faults of the burn report, for tests of its checks.
#pragma once

#include <cstdint>

namespace tamarack {

enum class burn_mutation : std::uint8_t {
    None,
    CountOwnExcess, // every refusal counts against the fleet
    CountRepeats, // a record that comes twice counts twice
    IgnoreWindows, // every window holds all data
};

} // namespace tamarack
