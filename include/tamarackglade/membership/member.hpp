// One VM in a process's membership view.
#pragma once

#include <tamarackglade/membership/listed_vm.hpp>

#include <optional>

namespace tamarack {

/// @brief What a process has received about one VM.
struct member
{
    std::optional<listed_vm> listed; // from the latest list that contained it
    bool isListed = false; // whether the latest list contains it
    incarnation_number newestIncarnation; // highest incarnation seen in lists and messages
    incarnation_number leavingUpTo; // incarnations up to this one leave, permanently

    /// @return whether its newest process is leaving
    [[nodiscard]] bool isLeaving() const { return newestIncarnation <= leavingUpTo; }
};

} // namespace tamarack
