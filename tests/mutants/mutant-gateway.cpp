// tamarack-gateway with a planted fault, for the soak's failing counterparts only.
#include "faulty_protocol.hpp"
#include "faulty_store.hpp"
#include <tamarackglade/gateway/process/gateway_process.hpp>
#include <tamarackglade/logging/init_logging.hpp>
#include <tamarackglade/runtime/stop_signal.hpp>
#include <tamarackglade/settings/load_settings.hpp>

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(mutation, "", "name of the planted fault");

int main(int argc, char **argv)
{
    using namespace tamarack;
    constexpr int ExitUsage = 2;
    holdSignals();
    const auto settings = loadSettings(gatewayOptions(), argc, argv);
    const auto mutation = gatewayMutationFrom(FLAGS_mutation);
    if (!settings.ok() || !mutation) {
        std::cerr << settings.status().message() << " or no mutation '" << FLAGS_mutation << "'\n";
        return ExitUsage;
    }
    if (!initLogging("mutant-gateway", "info").ok())
        return ExitUsage;
    io_thread thread;
    const faulty_protocol protocol(*mutation);
    faulty_store store(thread, settings->values.text("store"), *mutation);
    gateway_process process(thread, settings->values, store, protocol);
    if (!process.start().ok())
        return ExitUsage;
    process.runUntilStopped();
}
