// Faults that tests plant in the configuration's code, to show that their checks can fail.
#pragma once

#include <cstdint>

namespace tamarack {

enum class config_mutation : std::uint8_t {
    None,
    IgnoreBase, // every valid publish is accepted
    AcceptOlderSnapshot,
    ReviveWithdrawnKey,
    GossipOff,
    TrustAnyAnswer // a starting process takes the first answer of a peer, whatever its age
};

} // namespace tamarack
