// The option tables, and the reference page made from them.
#include <tamarackglade/settings/option_table.hpp>

#include <absl/strings/str_cat.h>

namespace tamarack {

namespace {

using enum setting_type;

constexpr std::int64_t AnyMinimum = 0;
constexpr std::int64_t AnyMaximum = 0;

std::vector<setting_option> commonOptions()
{
    return {
        {"vm", Text, "", AnyMinimum, AnyMaximum, "", true, "Name of this VM, unique in the fleet"},
        {"zone", Text, "", AnyMinimum, AnyMaximum, "", true, "Availability zone of this VM"},
        {"region", Text, "", AnyMinimum, AnyMaximum, "", true, "Region of this VM"},
        {"platform", AddressList, "", AnyMinimum, AnyMaximum, "", true,
         "Addresses of the platform's service (log, VM list, weight store)"},
        {"fleet-secret-file", Text, "", AnyMinimum, AnyMaximum, "", true,
         "File whose content proves membership of the fleet to other processes"},
        {"wire-listen", Address, "", AnyMinimum, AnyMaximum, "127.0.0.1:0", false,
         "Address on which other processes of the fleet connect"},
        {"admin-listen", Address, "", AnyMinimum, AnyMaximum, "127.0.0.1:0", false,
         "Address of /metrics, /healthz, /readyz and /status"},
        {"log-level", Text, "", AnyMinimum, AnyMaximum, "info", false,
         "Least severe level that is logged: debug, info, warning or error"},
        {"drain-limit", Milliseconds, "ms", 0, 3'600'000, "120000", false,
         "Longest time that a planned stop waits for requests under way"},
        {"drain-notice", Milliseconds, "ms", 0, 60'000, "1000", false,
         "Time between failing readiness and refusing new connections in a planned stop"},
    };
}

std::vector<setting_option> withCommon(std::vector<setting_option> own)
{
    std::vector<setting_option> all = commonOptions();
    all.insert(all.end(), own.begin(), own.end());
    return all;
}

std::string typeName(setting_type type)
{
    switch (type) {
    case Text:
        return "text";
    case Integer:
    case Milliseconds:
        return "integer";
    case Seconds:
        return "number";
    case Flag:
        return "yes/no";
    case Choice:
        return "choice";
    case Address:
        return "ip:port";
    case AddressList:
        return "list of ip:port";
    }
    return {};
}

std::string rangeText(const setting_option &option)
{
    if (option.type != Integer && option.type != Milliseconds && option.type != Seconds)
        return "";
    return absl::StrCat(option.minimum, " to ", option.maximum);
}

std::string defaultText(const setting_option &option)
{
    if (option.required)
        return "required";
    return option.defaultValue.empty() ? "none" : std::string(option.defaultValue);
}

void appendTable(const option_table &table, std::string &page)
{
    absl::StrAppend(
        &page, "\n## [", std::string(table.program), "]\n\n", std::string(table.summary), "\n\n",
        "| setting | type | unit | range | default | meaning |\n", "|---|---|---|---|---|---|\n");
    for (const setting_option &option : table.options)
        absl::StrAppend(&page, "| `", std::string(option.name), "` | ", typeName(option.type),
                        " | ", std::string(option.unit), " | ", rangeText(option), " | ",
                        defaultText(option), " | ", std::string(option.help), " |\n");
}

} // namespace

const setting_option *option_table::find(std::string_view name) const
{
    for (const setting_option &option : options) {
        if (option.name == name)
            return &option;
    }
    return nullptr;
}

const option_table &entryOptions()
{
    static const option_table Table{
        "tamarack-entry", "Serves callers on an entry VM.",
        withCommon({
            {"listen", Address, "", AnyMinimum, AnyMaximum, "127.0.0.1:8080", false,
             "Address on which callers connect"},
            {"threads", Integer, "threads", 1, 64, "1", false, "Threads that serve callers"},
            {"tls-certificate", Text, "", AnyMinimum, AnyMaximum, "", false,
             "PEM file of the callers' listener; empty for plain HTTP", "", "tls-key"},
            {"tls-key", Text, "", AnyMinimum, AnyMaximum, "", false,
             "PEM file of the certificate's private key", "", "tls-certificate"},
            {"header-limit", Integer, "bytes", 1'024, 1'048'576, "16384", false,
             "Largest request header"},
            {"body-limit", Integer, "bytes", 1'024, 1'073'741'824, "4194304", false,
             "Largest body of a request other than a file upload"},
            {"file-limit", Integer, "bytes", 1'024, 1'073'741'824, "209715200", false,
             "Largest body of a file upload"},
            {"header-timeout", Milliseconds, "ms", 100, 600'000, "10000", false,
             "Longest time for a caller to send a header"},
            {"body-timeout", Milliseconds, "ms", 100, 3'600'000, "60000", false,
             "Longest time for a caller to send a body"},
            {"request-timeout", Milliseconds, "ms", 100, 3'600'000, "120000", false,
             "Longest time until an answer is complete"},
        })};
    return Table;
}

const option_table &sideOptions()
{
    static const option_table Table{
        "tamarack-side", "Runs beside one upstream and is the only way to it.",
        withCommon({
            {"upstream", Address, "", AnyMinimum, AnyMaximum, "", true, "Address of the upstream"},
            {"group", Text, "", AnyMinimum, AnyMaximum, "", true,
             "Upstream group of the manifest that this upstream belongs to"},
            {"kind", Choice, "", AnyMinimum, AnyMaximum, "engine", false,
             "engine for a model engine, service for a plain service", "engine|service"},
            {"max-streams", Integer, "requests", 1, 4'096, "256", false,
             "Requests that the upstream may run at once, online and batch together"},
        })};
    return Table;
}

const option_table &gatewayOptions()
{
    static const option_table Table{
        "tamarack-gateway",
        "Forwards callers' requests to upstreams and runs batch jobs, with all lasting state in "
        "the "
        "platform's store.",
        {
            {"vm", Text, "", AnyMinimum, AnyMaximum, "", true,
             "Name of this VM, unique in the fleet"},
            {"zone", Text, "", AnyMinimum, AnyMaximum, "", true, "Availability zone of this VM"},
            {"store", Address, "", AnyMinimum, AnyMaximum, "", true,
             "Address of the platform's store"},
            {"listen", Address, "", AnyMinimum, AnyMaximum, "127.0.0.1:8080", false,
             "Address on which callers connect"},
            {"readiness-listen", Address, "", AnyMinimum, AnyMaximum, "127.0.0.1:0", false,
             "Address on which the balancer asks for readiness"},
            {"peer-listen", Address, "", AnyMinimum, AnyMaximum, "127.0.0.1:0", false,
             "Address for datagrams between gateways; other gateways must reach it"},
            {"admin-listen", Address, "", AnyMinimum, AnyMaximum, "127.0.0.1:0", false,
             "Address of /metrics, /healthz and /readyz"},
            {"log-level", Text, "", AnyMinimum, AnyMaximum, "info", false,
             "Least severe level that is logged: debug, info, warning or error"},
            {"key-freshness", Milliseconds, "ms", 500, 600'000, "5000", false,
             "Time within which a withdrawn key stops working: older evidence serves no keyed "
             "request"},
            {"batch-freshness", Milliseconds, "ms", 100, 600'000, "1000", false,
             "Oldest state of batch jobs that calls are answered from"},
            {"batch-keep-time", Milliseconds, "ms", 1'000, 86'400'000, "150000", false,
             "How long finished batch jobs stay readable"},
            {"upstream-return-grace", Milliseconds, "ms", 0, 60'000, "2200", false,
             "Time after the store's return in which live upstreams have written again"},
            {"drain-notice", Milliseconds, "ms", 0, 60'000, "2500", false,
             "Time between failing readiness and refusing new connections in a planned stop"},
            {"drain-limit", Milliseconds, "ms", 0, 3'600'000, "3600000", false,
             "Longest time of a planned stop, if stop-grace allows more"},
            {"stop-grace", Seconds, "s", 1, 3'600, "8", false,
             "Time from the stop signal until the process is killed. What is in progress half a "
             "second before gets a failure; drain-notice is a third of it at most"},
            {"silence-limit", Milliseconds, "ms", 50, 60'000, "300", false,
             "Silence of an upstream after which a request that may repeat asks for a place at "
             "another, "
             "and goes on there once it has it"},
            {"first-event-reserve", Milliseconds, "ms", 0, 60'000, "60", false,
             "Time kept for the first event when a request waits for a slot"},
            {"batch-partitions", Integer, "partitions", 1, 100, "4", false,
             "Partitions of batch jobs in the store; the same on all gateways for ever"},
            {"direct-fleet", Integer, "gateways", 1, 1'000, "48", false,
             "Gateways of a larger fleet report directly only within their zone; the same on all "
             "gateways"},
            {"memory-limit", Integer, "MB", 0, 1'048'576, "0", false,
             "Memory that the process may use; 0 for the lowest limit of machine, control group "
             "and ulimit. A quarter of it may be held for callers: beyond that, connections "
             "without progress are closed and large requests get 503. An eighth each may be held "
             "of unfinished responses, of the texts of unfinished batch items and of answers of "
             "the store: beyond that, large ones fail"},
            {"descriptor-limit", Integer, "descriptors", 0, 10'000'000, "0", false,
             "Open files and sockets that the process may use; 0 for ulimit. Callers may use three "
             "quarters: beyond that, idle connections are closed and new ones refused"},
        }};
    return Table;
}

std::string settingsReference()
{
    std::string page =
        "# Process settings\n\n"
        "Each program reads its section of the INI file that `--settings` names. A flag of the\n"
        "same name, with `_` or `-`, goes before the file. `--check-settings` lists every fault\n"
        "and exits with 0 or 2.\n";
    appendTable(entryOptions(), page);
    appendTable(sideOptions(), page);
    appendTable(gatewayOptions(), page);
    return page;
}

} // namespace tamarack
