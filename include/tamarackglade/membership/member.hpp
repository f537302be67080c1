// One VM as a process knows it.
#pragma once

#include <tamarackglade/membership/listed_vm.hpp>

#include <optional>

namespace tamarack {

struct member
{
    std::optional<listed_vm> listed; // from the latest list that had it; none before
    bool isListed = false; // whether the latest list has it
    incarnation_number newestIncarnation; // highest incarnation that was seen anywhere
    incarnation_number leavingUpTo; // incarnations up to here are leaving, for ever

    /// @return whether its newest process is leaving
    [[nodiscard]] bool isLeaving() const { return newestIncarnation <= leavingUpTo; }
};

} // namespace tamarack
