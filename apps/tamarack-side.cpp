// The side process: runs beside one upstream and is the only way to it.
#include <tamarackglade/http/admin_server.hpp>
#include <tamarackglade/logging/init_logging.hpp>
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/node/process_status.hpp>
#include <tamarackglade/runtime/stop_signal.hpp>
#include <tamarackglade/settings/load_settings.hpp>
#include <tamarackglade/side/side_server.hpp>
#include <tamarackglade/wire/load_wire_settings.hpp>
#include <tamarackglade/wire/status_handler.hpp>
#include <tamarackglade/wire/wire_server.hpp>

#include <boost/fiber/operations.hpp>

#include <atomic>
#include <iostream>

using namespace tamarack;

namespace {

constexpr int ExitUsage = 2;
constexpr int ExitFailure = 1;

side_options optionsOf(const setting_values &values)
{
    side_options options;
    options.upstreamAddress = values.text("upstream");
    options.group = group_id(values.text("group"));
    options.kind = values.text("kind") == "service" ? schema::upstream_kind::Service
                                                    : schema::upstream_kind::Engine;
    return options;
}

// Waits until no call is under way, or the drain limit has passed.
void drainSide(side_server &server, std::chrono::milliseconds limit)
{
    constexpr auto Poll = std::chrono::milliseconds(20);
    server.drain();
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (server.activeCalls() > 0 && std::chrono::steady_clock::now() < deadline)
        boost::this_fiber::sleep_for(Poll);
    log_event(log_level::Info, "stopped").with("calls_cut", server.activeCalls());
}

int serve(const setting_values &values, const wire_settings &wire)
{
    metric_registry metrics;
    io_thread thread;
    side_server server(thread, optionsOf(values));
    std::atomic<bool> draining{false};
    const auto status = [&] {
        process_status now;
        now.self = wire.self;
        now.draining = draining;
        now.serving = !draining;
        now.requests = server.activeCalls();
        return now.toJson();
    };
    status_handler handler(server, status);
    wire_server listener(thread, wire, handler);
    admin_server admin(thread, metrics);
    admin.addPage("/status", [&](const http_request &) {
        http_response response;
        response.contentType = "application/json";
        response.body = status();
        return response;
    });
    const auto wirePort = listener.listen(values.text("wire-listen"));
    const auto adminPort = admin.listen(values.text("admin-listen"));
    if (!wirePort.ok() || !adminPort.ok()) {
        std::cerr << wirePort.status() << "\n" << adminPort.status() << "\n";
        return ExitFailure;
    }
    admin.setReady(true, "");
    log_event(log_level::Info, "serving")
        .with("vm", values.text("vm"))
        .with("wire_port", *wirePort)
        .with("admin_port", *adminPort);
    runUntilStopped(
        thread,
        [&] {
            draining = true;
            admin.setReady(false, "draining");
            drainSide(server, values.milliseconds("drain-limit"));
        },
        [] {});
    exitProcess(0);
}

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
    return serve(settings->values, *wire);
}
