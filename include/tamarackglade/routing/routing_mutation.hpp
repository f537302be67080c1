// Faults that tests inject into the router.
#pragma once

namespace tamarack {

enum class routing_mutation {
    None,
    IgnoreLeaving, // leaving upstreams are still chosen
    EjectAll // more than half of a group may be ejected
};

} // namespace tamarack
