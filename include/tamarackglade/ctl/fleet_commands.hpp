// Commands that ask the running processes: status, watch, and the wait of drain.
#pragma once

#include <tamarackglade/ctl/ctl_context.hpp>
#include <tamarackglade/ctl/vm_status.hpp>

#include <functional>
#include <string>
#include <vector>

namespace tamarack {

/// @brief status: one row a listed process. Done only if all answered.
int runStatus(ctl_context &context);

/// @brief watch [--offset=N] [--timeout=SECONDS]: waits until a configuration is in force in
/// every listed process.
int runWatch(ctl_context &context);

/// @brief Waits until every entry has the drain's offset in force and the VM has nothing under
/// way. @return ExitDone, or ExitTimeout
int waitUntilDrained(ctl_context &context, const std::string &vm, log_offset offset);

} // namespace tamarack
