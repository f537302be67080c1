// Measures the cost of the gate of a side process.
#include <tamarackglade/gate/side_gate.hpp>
#include <tamarackglade/report/capacity_measurements.hpp>
#include <tamarackglade/report/frame_size.hpp>

namespace tamarack {

namespace {

using namespace std::chrono_literals;

constexpr time_point Start{1h};
const connection_id Entry(1);
constexpr std::uint64_t Calls = 2000;
constexpr std::uint64_t Tokens = 50'000;
constexpr double NsPerUs = 1e3;

gate_options wideOptions()
{
    gate_options options;
    options.group = "permit-engines";
    options.maxStreams = 1024;
    return options;
}

schema::start_call_message callOf(std::uint64_t sequence)
{
    schema::start_call_message call;
    call.attempt =
        call_attempt_name{vm_id("entry-1"), incarnation_number(3), sequence, incarnation_number(9)}
            .format()
            .value();
    call.customer = "customer-" + std::to_string(sequence % 100);
    call.deadline_ms = 60'000;
    call.weight = 1;
    call.repeatable = true;
    return call;
}

void begin(side_gate &gate, std::uint64_t sequence, time_point now)
{
    const auto call = callOf(sequence);
    gate.onStart(call, Entry, now);
    gate.onUpstreamHead({attempt_id(call.attempt), 1}, 200, "text/event-stream", now);
}

capacity_table eventsByCalls(const measurement_hooks &hooks)
{
    capacity_table table{"gate-calls",
                         "side",
                         "online calls in progress at one upstream",
                         {"calls", "a call's start, head and end, us", "one token, us"},
                         {}};
    for (const std::uint64_t concurrentCalls : {10U, 50U, 100U, 300U}) {
        side_gate gate(wideOptions(), incarnation_number(9));
        time_point now = Start;
        gate.onConnected(Entry, now);
        for (std::uint64_t i = 1; i <= concurrentCalls; ++i)
            begin(gate, i, now);
        const std::vector<std::uint8_t> token(60, 't');
        const upstream_run run{attempt_id(callOf(1).attempt), 1};
        duration start = hooks.clock();
        for (std::uint64_t i = 0; i < Tokens; ++i)
            gate.onUpstreamData(run, token, now += 1us);
        const double perToken = static_cast<double>((hooks.clock() - start).count()) / Tokens;
        start = hooks.clock();
        for (std::uint64_t i = 1; i <= Calls; ++i) {
            begin(gate, concurrentCalls + i, now += 1ms);
            gate.onUpstreamEnd({attempt_id(callOf(i).attempt), 1}, now);
        }
        const double perCall = static_cast<double>((hooks.clock() - start).count()) / Calls;
        table.rows.push_back({double(concurrentCalls), perCall / NsPerUs, perToken / NsPerUs});
    }
    return table;
}

capacity_table reportsByConnections(const measurement_hooks &hooks)
{
    capacity_table table{"gate-reports",
                         "side",
                         "load reports of one idle side to its entries",
                         {"connections", "reports/s", "bytes/s", "processor ms/s"},
                         {}};
    constexpr duration MeasuredTime = 10s;
    for (const std::uint64_t connections : {3U, 10U, 50U, 126U, 400U}) {
        side_gate gate(wideOptions(), incarnation_number(9));
        time_point now = Start;
        for (std::uint64_t i = 1; i <= connections; ++i)
            gate.onConnected(connection_id(i), now);
        std::size_t reports = 0;
        std::size_t bytes = 0;
        duration processorTime{};
        for (const time_point end = now + MeasuredTime; now < end;) {
            now = std::max(now + 1ms, gate.nextDeadline(now));
            const duration start = hooks.clock();
            const auto actions = gate.tick(now);
            processorTime += hooks.clock() - start;
            for (const auto &action : actions) {
                const auto *sent = std::get_if<send_frame>(&action);
                if (sent == nullptr)
                    continue;
                ++reports;
                bytes += std::visit([](const auto &body) { return frameSize(body); }, sent->frame);
            }
        }
        const double seconds = toSeconds(MeasuredTime);
        table.rows.push_back({double(connections), double(reports) / seconds,
                              double(bytes) / seconds, toSeconds(processorTime) * 1e3 / seconds});
    }
    return table;
}

} // namespace

std::vector<capacity_measurement> sideMeasurements()
{
    return {{"gate-calls", eventsByCalls}, {"gate-reports", reportsByConnections}};
}

} // namespace tamarack
