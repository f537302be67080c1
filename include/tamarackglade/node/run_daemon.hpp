// The main function of all daemons: loads settings, starts logging and runs the process.
#pragma once

#include <tamarackglade/logging/init_logging.hpp>
#include <tamarackglade/node/process_mutations.hpp>
#include <tamarackglade/runtime/stop_signal.hpp>
#include <tamarackglade/settings/load_settings.hpp>
#include <tamarackglade/wire/load_wire_settings.hpp>

#include <iostream>
#include <string>

namespace tamarack {

/// @brief Runs a daemon until it is stopped.
/// @tparam Process class that constructs the daemon's parts, such as side_process
/// @param mutations injected faults, in test programs only
/// @return 2 if the settings are invalid, 0 if they were only checked. Otherwise the function does
/// not return: the process exits, with status 1 if a part can't start.
template <class Process>
int runDaemon(const option_table &table, schema::vm_role role, int argc, char **argv,
              const process_mutations &mutations = {})
{
    holdSignals();
    constexpr int ExitFailure = 1;
    constexpr int ExitUsage = 2;
    const auto settings = loadSettings(table, argc, argv);
    if (!settings.ok()) {
        std::cerr << settings.status().message() << "\n";
        return ExitUsage;
    }
    const auto wire = loadWireSettings(settings->values, role);
    const auto logging =
        initLogging(std::string(table.program), settings->values.text("log-level"));
    if (!wire.ok() || !logging.ok()) {
        std::cerr << wire.status().message() << logging.message() << "\n";
        return ExitUsage;
    }
    if (settings->checkOnly)
        return 0;
    Process process(settings->values, *wire, mutations);
    const absl::Status started = process.start();
    if (!started.ok()) {
        std::cerr << started.message() << "\n";
        exitProcess(ExitFailure);
    }
    process.runUntilStopped();
}

} // namespace tamarack
