// A live entry VM in the VM list.
#pragma once

#include <tamarackglade/core/ids.hpp>

namespace tamarack {

struct live_vm
{
    vm_id vm;
    incarnation_number incarnation;
    bool leaving = false;
};

} // namespace tamarack
