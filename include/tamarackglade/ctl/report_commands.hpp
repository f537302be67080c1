// Commands of tamarackctl on batch jobs and error budgets: jobs, burn.
#pragma once

#include <tamarackglade/ctl/ctl_context.hpp>

namespace tamarack {

/// @brief jobs list [CUSTOMER] | jobs show ID | jobs cancel ID: lists, prints or cancels batch
/// jobs.
int runJobs(ctl_context &context);

/// @brief burn [--html=FILE]: prints the burn report as text or JSON and may write it as a web
/// page.
int runBurn(ctl_context &context);

} // namespace tamarack
