// The kinds of routing strategies.
#pragma once

namespace tamarack {

enum class routing_strategy_kind {
    Random,
    RoundRobin,
    LeastReported, // the lowest load in the upstreams' reports
    TwoChoices, // the candidate of lower cost among two random ones
    PrefixBounded // rendezvous hashing of the prompt's prefix, with bounded load
};

} // namespace tamarack
