// A VM that an operator drained.
#pragma once

#include <tamarackglade/core/ids.hpp>

namespace tamarack {

struct drained_vm
{
    vm_id vm;
    incarnation_number upTo; // the last drained incarnation; 0 stands for all

    /// @return whether this drains a process of the VM
    [[nodiscard]] bool covers(const vm_id &other, incarnation_number process) const
    {
        return other == vm && (upTo == incarnation_number(0) || process <= upTo);
    }
};

} // namespace tamarack
