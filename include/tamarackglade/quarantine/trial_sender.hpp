// Chooses the gateway that sends trial requests.
#pragma once

#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/core/ids.hpp>

#include <algorithm>
#include <cstdint>
#include <vector>

namespace tamarack {

/// @brief Chooses one of the gateways by rendezvous hashing, so that all choose the same one.
/// @return whether it is this gateway; false if there are none
inline bool sendsTrials(const vm_id &self, const std::vector<vm_id> &serving, std::uint64_t key)
{
    const auto weight = [&](const vm_id &vm) { return stableHash(vm.value(), key); };
    const auto chosen =
        std::max_element(serving.begin(), serving.end(),
                         [&](const vm_id &a, const vm_id &b) { return weight(a) < weight(b); });
    return chosen != serving.end() && *chosen == self;
}

} // namespace tamarack
