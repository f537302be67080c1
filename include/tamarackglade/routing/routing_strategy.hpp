// The interface of routing strategies.
#pragma once

#include <tamarackglade/routing/route_candidate.hpp>
#include <tamarackglade/routing/routing_options.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <vector>

namespace tamarack {

/// @brief Chooses one of several candidates.
class routing_strategy
{
public:
    virtual ~routing_strategy() = default;

    /// @param candidates at least one, sorted by id
    /// @param prefixHash hash of the beginning of the prompt; 0 if there is none
    /// @return an index into candidates
    virtual std::size_t choose(const std::vector<route_candidate> &candidates,
                               std::uint64_t prefixHash, std::mt19937_64 &random) = 0;
};

/// @return a strategy of the kind given by options.strategy
std::unique_ptr<routing_strategy> makeRoutingStrategy(const routing_options &options);

} // namespace tamarack
