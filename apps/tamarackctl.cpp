// tamarackctl: the operators' command line client.
#include <tamarackglade/ctl/config_commands.hpp>
#include <tamarackglade/ctl/exit_code.hpp>
#include <tamarackglade/ctl/fleet_commands.hpp>
#include <tamarackglade/ctl/order_command.hpp>
#include <tamarackglade/ctl/report_commands.hpp>
#include <tamarackglade/runtime/stop_signal.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(platform, "", "addresses of the platform service, ip:port, separated by commas");
DEFINE_string(output, "text", "text or json");
DEFINE_string(fleet_secret_file, "", "file with the fleet secret");

using namespace tamarack;

namespace {

/// @brief A command by its name.
struct ctl_command
{
    std::string_view name;
    std::string_view usage;
    std::string_view help;
    bool needsPlatform;
    int (*run)(ctl_context &);
};

constexpr ctl_command Commands[] = {
    {"check", "check FILE", "list every fault of a manifest", false, &runCheck},
    {"publish", "publish FILE [--base=OFFSET] [--operator_name=NAME]",
     "append a manifest to the log and print whether it was accepted", true, &runPublish},
    {"watch", "watch [--offset=N] [--timeout=SECONDS]",
     "wait until a configuration is in force in every listed process", true, &runWatch},
    {"status", "status", "show every listed process", true, &runStatus},
    {"key", "key issue CUSTOMER | key withdraw ID | key list", "manage callers' keys", true,
     &runKey},
    {"jobs", "jobs list [CUSTOMER] | jobs show ID | jobs cancel ID",
     "list, show and cancel batch jobs", true, &runJobs},
    {"drain", "drain VM [--wait] [--timeout=SECONDS]", "stop giving new work to a VM", true,
     &runDrain},
    {"order", "order VM KIND ARGUMENT [--wait] [--timeout=SECONDS]",
     "order an engine to load-model, load-adapter, load-version or change-role", true, &runOrder},
    {"burn", "burn [--html=FILE]", "report the burn rates of the error budgets", true, &runBurn},
};

constexpr std::string_view ExitCodes =
    "Exit codes: 0 done\n"
    "            1 the platform or a process could not be reached\n"
    "            2 wrong arguments, or faults in a file\n"
    "            3 superseded by another publish or a newer order\n"
    "            4 whether the command took effect is unknown\n"
    "            5 the awaited state was not reached within --timeout\n"
    "            6 the upstream refused the order\n";

std::string usageText()
{
    std::string text = "tamarackctl [--platform=IP:PORT] [--output=json] COMMAND\n\nCommands:\n";
    for (const ctl_command &command : Commands)
        absl::StrAppend(&text, "  ", std::string(command.usage), "\n      ",
                        std::string(command.help), "\n");
    absl::StrAppend(&text, "\nOptions: --platform=IP:PORT,... --fleet_secret_file=FILE ",
                    "--output=text|json\n\n", std::string(ExitCodes));
    return text;
}

std::string commandHelp(const ctl_command &command)
{
    return absl::StrCat("usage: tamarackctl ", std::string(command.usage), "\n\n",
                        std::string(command.help), "\n\n", std::string(ExitCodes));
}

const ctl_command *findCommand(std::string_view name)
{
    for (const ctl_command &command : Commands) {
        if (command.name == name)
            return &command;
    }
    return nullptr;
}

// Prints the help of the first command in the arguments, or of all commands if there is none.
int printHelp(const std::vector<std::string> &arguments)
{
    for (const std::string &argument : arguments) {
        if (const ctl_command *command = findCommand(argument)) {
            std::cout << commandHelp(*command);
            return ExitDone;
        }
    }
    std::cout << usageText();
    return ExitDone;
}

// Returns the fleet secret, or an empty text without --fleet_secret_file.
std::string readSecret()
{
    std::ostringstream content;
    if (!FLAGS_fleet_secret_file.empty())
        content << std::ifstream(FLAGS_fleet_secret_file).rdbuf();
    return std::string(absl::StripAsciiWhitespace(content.str()));
}

int runCommand(const ctl_command &command, std::vector<std::string> arguments)
{
    ctl_output output(FLAGS_output == "json");
    const std::vector<std::string> addresses =
        absl::StrSplit(FLAGS_platform, ',', absl::SkipEmpty());
    if (command.needsPlatform && addresses.empty()) {
        output.error("--platform is required");
        return ExitUsage;
    }
    io_thread thread;
    int code = ExitFailed;
    thread.run([&] {
        platform_client platform(thread, addresses);
        ctl_context context{thread, platform, output, std::move(arguments), readSecret()};
        code = command.run(context);
    });
    return code;
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    if (std::find(words.begin(), words.end(), "--help") != words.end())
        return printHelp(words);
    gflags::SetUsageMessage(usageText());
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const ctl_command *command = argc > 1 ? findCommand(argv[1]) : nullptr;
    if (command == nullptr || (FLAGS_output != "text" && FLAGS_output != "json")) {
        std::cerr << usageText();
        return ExitUsage;
    }
    exitProcess(runCommand(*command, {argv + 2, argv + argc}));
}
