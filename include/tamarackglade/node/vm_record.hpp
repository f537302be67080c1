// One VM of the platform's list.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <string>

namespace tamarack {

/// @brief A VM as the platform lists it.
struct vm_record
{
    vm_id vm;
    std::string role; // "entry" or "side"
    group_id group; // of a side
    std::string address; // of the wire, ip:port
    bool leaving = false;
    incarnation generation; // of the VM
};

} // namespace tamarack
