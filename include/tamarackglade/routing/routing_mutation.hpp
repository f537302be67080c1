// Faults that tests seed into the router.
#pragma once

namespace tamarack {

enum class routing_mutation {
    None,
    IgnoreLeaving, // leaving upstreams are still chosen
    EjectAll // without the limit of half of a group
};

} // namespace tamarack
