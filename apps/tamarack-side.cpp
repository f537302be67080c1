// The side process: runs beside one upstream and is the only way to it.
#include <tamarackglade/logging/init_logging.hpp>
#include <tamarackglade/runtime/stop_signal.hpp>
#include <tamarackglade/settings/load_settings.hpp>
#include <tamarackglade/side/side_process.hpp>
#include <tamarackglade/wire/load_wire_settings.hpp>

#include <iostream>

using namespace tamarack;

namespace {

constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;

} // namespace

int main(int argc, char **argv)
{
    const auto settings = loadSettings(sideOptions(), argc, argv);
    if (!settings.ok()) {
        std::cerr << settings.status().message() << "\n";
        return ExitUsage;
    }
    const auto wire = loadWireSettings(settings->values, schema::vm_role::Side);
    const auto logging = initLogging("tamarack-side", settings->values.text("log-level"));
    if (!wire.ok() || !logging.ok()) {
        std::cerr << wire.status().message() << logging.message() << "\n";
        return ExitUsage;
    }
    if (settings->checkOnly)
        return 0;
    side_process process(settings->values, *wire);
    const absl::Status started = process.start();
    if (!started.ok()) {
        std::cerr << started.message() << "\n";
        exitProcess(ExitFailure);
    }
    process.runUntilStopped();
}
