// The gateway: forwards callers' requests to upstreams on the users' platform.
#include <platform/http_protocol.hpp>
#include <platform/platform_store.hpp>
#include <tamarackglade/gateway/process/gateway_process.hpp>
#include <tamarackglade/logging/init_logging.hpp>
#include <tamarackglade/runtime/machine_limits.hpp>
#include <tamarackglade/runtime/stop_signal.hpp>
#include <tamarackglade/settings/load_settings.hpp>

#include <iostream>

int main(int argc, char **argv)
{
    using namespace tamarack;
    holdSignals();
    returnLargeBuffers();
    constexpr int ExitFailure = 1;
    constexpr int ExitUsage = 2;
    const auto settings = loadSettings(gatewayOptions(), argc, argv);
    if (!settings.ok()) {
        std::cerr << settings.status().message() << "\n";
        return ExitUsage;
    }
    const auto logging = initLogging("tamarack-gateway", settings->values.text("log-level"));
    if (!logging.ok()) {
        std::cerr << logging.message() << "\n";
        return ExitUsage;
    }
    if (settings->checkOnly)
        return 0;
    io_thread thread;
    const platform::http_protocol protocol;
    platform::platform_store store(
        thread, settings->values.text("store"),
        memorySharesOf(gatewayOptionsFrom(settings->values)).storeAnswers);
    gateway_process process(thread, settings->values, store, protocol);
    const absl::Status started = process.start();
    if (!started.ok()) {
        std::cerr << started.message() << "\n";
        exitProcess(ExitFailure);
    }
    process.runUntilStopped();
}
