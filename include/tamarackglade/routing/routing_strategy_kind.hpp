// The ways to choose among upstreams that can take a request.
#pragma once

namespace tamarack {

enum class routing_strategy_kind {
    Random,
    RoundRobin,
    LeastReported, // by the upstreams' own reports alone
    TwoChoices, // the better of two random ones, by what this process knows
    PrefixBounded // the prefix's own upstream unless it has more than its share of load
};

} // namespace tamarack
