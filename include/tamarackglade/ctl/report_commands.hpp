// Commands on what customers got: jobs, burn.
#pragma once

#include <tamarackglade/ctl/ctl_context.hpp>

namespace tamarack {

/// @brief jobs list [CUSTOMER] | jobs show ID | jobs cancel ID.
int runJobs(ctl_context &context);

/// @brief burn [--html=FILE]: the burn report as text, JSON or a page.
int runBurn(ctl_context &context);

} // namespace tamarack
