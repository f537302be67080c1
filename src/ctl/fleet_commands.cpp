// Implements status, watch and the wait of drain by polling the processes of the fleet.
#include <tamarackglade/ctl/config_reader.hpp>
#include <tamarackglade/ctl/ctl_failure.hpp>
#include <tamarackglade/ctl/exit_code.hpp>
#include <tamarackglade/ctl/fleet_commands.hpp>
#include <tamarackglade/ctl/fleet_status.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <boost/fiber/operations.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>

DEFINE_int64(offset, -1, "watch: offset of the config stream; -1 for the end of the stream");
DEFINE_double(timeout, 60, "watch, drain --wait, order --wait: maximum wait in seconds");

namespace tamarack {

namespace {

using clock = std::chrono::steady_clock;
using json = nlohmann::ordered_json;

constexpr std::chrono::milliseconds PollInterval{250};

clock::time_point waitDeadline()
{
    return clock::now()
           + std::chrono::duration_cast<clock::duration>(
               std::chrono::duration<double>(FLAGS_timeout));
}

const char *roleName(vm_role role)
{
    return role == vm_role::Entry ? "entry" : "side";
}

std::string numberText(const vm_status &row, const char *member)
{
    const auto number = row.number(member);
    return number ? absl::StrCat(*number) : "-";
}

std::string stateText(const vm_status &row)
{
    if (!row.isReached())
        return row.fault;
    if (row.flag("draining"))
        return "draining";
    return row.flag("serving") ? "serving" : "not serving";
}

json statusJson(const std::vector<vm_status> &rows)
{
    auto array = json::array();
    for (const vm_status &row : rows) {
        json object = row.isReached() ? row.answer : json::object();
        object["vm"] = row.listed.vm.value();
        object["address"] = row.listed.address;
        object["reached"] = row.isReached();
        if (!row.isReached())
            object["fault"] = row.fault;
        array.push_back(std::move(object));
    }
    return array;
}

void printStatus(ctl_context &context, const std::vector<vm_status> &rows)
{
    if (context.output.isJson()) {
        context.output.result(statusJson(rows), "");
        return;
    }
    std::vector<std::vector<std::string>> cells;
    cells.reserve(rows.size());
    for (const vm_status &row : rows)
        cells.push_back({row.listed.vm.value(), roleName(row.listed.role), row.listed.zone.value(),
                         stateText(row), numberText(row, "config_offset"),
                         numberText(row, "manifest_offset"), numberText(row, "partitions_owned"),
                         numberText(row, "requests")});
    context.output.table(
        {"vm", "role", "zone", "state", "config", "manifest", "partitions", "requests"}, cells);
}

// Returns a line for each process in which the offset is not in force, with its own offset or
// fault.
std::vector<std::string> processesWithoutOffset(const std::vector<vm_status> &rows,
                                                log_offset offset)
{
    std::vector<std::string> names;
    for (const vm_status &row : rows) {
        if (!row.hasInForce(offset))
            names.push_back(absl::StrCat(
                row.listed.vm.value(), " (",
                row.isReached() ? absl::StrCat("at ", numberText(row, "config_offset")) : row.fault,
                ")"));
    }
    return names;
}

bool hasEntry(const std::vector<vm_status> &rows)
{
    return std::any_of(rows.begin(), rows.end(),
                       [](const vm_status &row) { return row.listed.role == vm_role::Entry; });
}

// Polls the fleet until done returns true or the timeout passes. Prints a progress line when it
// differs from the previous one.
template <class Done>
int pollFleet(ctl_context &context, const Done &done)
{
    const auto deadline = waitDeadline();
    std::string lastProgress;
    for (;;) {
        const auto rows = requestFleetStatus(context);
        if (absl::IsFailedPrecondition(rows.status()))
            return printFailure(context, rows.status());
        std::string waitingFor;
        if (!rows.ok())
            waitingFor = absl::StrCat("VM list: ", std::string(rows.status().message()));
        else if (done(*rows, waitingFor))
            return ExitDone;
        if (waitingFor != lastProgress)
            context.output.progress(waitingFor);
        lastProgress = waitingFor;
        if (clock::now() >= deadline) {
            context.output.error(absl::StrCat("timeout: ", waitingFor));
            return ExitTimeout;
        }
        boost::this_fiber::sleep_for(PollInterval);
    }
}

} // namespace

int runStatus(ctl_context &context)
{
    if (!context.arguments.empty())
        return printUsageError(context, "status");
    const auto rows = requestFleetStatus(context);
    if (!rows.ok())
        return printFailure(context, rows.status());
    printStatus(context, *rows);
    const bool allReached = std::all_of(rows->begin(), rows->end(),
                                        [](const vm_status &row) { return row.isReached(); });
    return allReached ? ExitDone : ExitFailed;
}

int runWatch(ctl_context &context)
{
    if (!context.arguments.empty())
        return printUsageError(context, "watch [--offset=N] [--timeout=SECONDS]");
    log_offset offset(static_cast<std::uint64_t>(std::max<std::int64_t>(FLAGS_offset, 0)));
    if (FLAGS_offset < 0) {
        const auto fold = readConfig(context.platform);
        if (!fold.ok())
            return printFailure(context, fold.status());
        offset = fold->offset();
    }
    std::vector<vm_status> lastRows;
    const int code =
        pollFleet(context, [&](const std::vector<vm_status> &rows, std::string &waitingFor) {
            lastRows = rows;
            const auto missing = processesWithoutOffset(rows, offset);
            if (missing.empty() && hasEntry(rows))
                return true;
            waitingFor = absl::StrCat("offset ", offset.value(), " in force in ",
                                      rows.size() - missing.size(), " of ", rows.size(),
                                      "; waiting for ", absl::StrJoin(missing, ", "));
            return false;
        });
    if (code != ExitDone && code != ExitTimeout)
        return code;
    json object;
    object["offset"] = offset.value();
    object["in_force_everywhere"] = code == ExitDone;
    object["processes"] = statusJson(lastRows);
    if (context.output.isJson())
        context.output.result(object, "");
    else if (code == ExitDone)
        context.output.result(object,
                              absl::StrCat("offset ", offset.value(), " is in force in all ",
                                           lastRows.size(), " processes"));
    return code;
}

int waitUntilDrained(ctl_context &context, const std::string &vm, log_offset offset)
{
    return pollFleet(context, [&](const std::vector<vm_status> &rows, std::string &waitingFor) {
        for (const vm_status &row : rows) {
            const std::string &name = row.listed.vm.value();
            const bool mustHaveOffset = row.listed.role == vm_role::Entry || name == vm;
            const bool hasOffset = row.hasInForce(offset);
            if (mustHaveOffset && !hasOffset && row.isReached())
                waitingFor = absl::StrCat(name, " has not applied the drain yet");
            else if (mustHaveOffset && !hasOffset)
                waitingFor = absl::StrCat(name, " ", row.fault);
            else if (name == vm
                     && (row.number("requests") != 0 || row.number("partitions_owned") != 0))
                waitingFor = absl::StrCat(name, " has ", numberText(row, "requests"),
                                          " active requests and ",
                                          numberText(row, "partitions_owned"), " owned partitions");
        }
        return waitingFor.empty();
    });
}

} // namespace tamarack
