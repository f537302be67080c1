// The clock for what expires: it goes on while the VM is suspended.
#pragma once

#include <tamarackglade/core/time.hpp>

namespace tamarack {

/// @return the time since this machine's start, suspensions included
time_point bootNow();

} // namespace tamarack
