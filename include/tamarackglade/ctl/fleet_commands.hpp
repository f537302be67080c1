// Commands that request the status of running processes: status, watch, and drain --wait.
#pragma once

#include <tamarackglade/ctl/ctl_context.hpp>
#include <tamarackglade/ctl/vm_status.hpp>

#include <functional>
#include <string>
#include <vector>

namespace tamarack {

/// @brief status: prints one row for each process on the VM list.
/// @return ExitDone if every process answered, else ExitFailed
int runStatus(ctl_context &context);

/// @brief watch [--offset=N] [--timeout=SECONDS]: waits until a configuration is in force in
/// every process on the VM list.
/// @return ExitDone, or ExitTimeout after --timeout
int runWatch(ctl_context &context);

/// @brief Waits until the offset of the drain is in force in every entry and on the VM, and the VM
/// has no requests and owns no partitions.
/// @return ExitDone, or ExitTimeout after --timeout
int waitUntilDrained(ctl_context &context, const std::string &vm, log_offset offset);

} // namespace tamarack
