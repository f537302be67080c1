// The operators' client.
#include <tamarackglade/ctl/config_commands.hpp>
#include <tamarackglade/ctl/exit_code.hpp>
#include <tamarackglade/runtime/stop_signal.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(platform, "", "addresses of the platform's service, ip:port, separated by commas");
DEFINE_string(output, "text", "text or json");
DEFINE_string(fleet_secret_file, "", "file with the fleet's secret");

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
    {"publish", "publish FILE [--base=OFFSET]",
     "append a manifest to the log and say whether it was accepted", true, &runPublish},
    {"key", "key issue CUSTOMER | key withdraw ID | key list", "manage callers' keys", true,
     &runKey},
    {"drain", "drain VM", "tell the fleet that a VM is leaving", true, &runDrain},
};

std::string usageText()
{
    std::string text = "tamarackctl [--platform=IP:PORT] [--output=json] COMMAND\n\nCommands:\n";
    for (const ctl_command &command : Commands)
        absl::StrAppend(&text, "  ", std::string(command.usage), "\n      ",
                        std::string(command.help), "\n");
    absl::StrAppend(&text, "\nExit codes: 0 done, 1 failed, 2 wrong arguments or faults in a file,",
                    "\n            3 another publish won, 4 whether it took effect is unknown\n");
    return text;
}

const ctl_command *findCommand(std::string_view name)
{
    for (const ctl_command &command : Commands) {
        if (command.name == name)
            return &command;
    }
    return nullptr;
}

int runCommand(const ctl_command &command, std::vector<std::string> arguments)
{
    ctl_output output(FLAGS_output == "json");
    const std::vector<std::string> addresses =
        absl::StrSplit(FLAGS_platform, ',', absl::SkipEmpty());
    if (command.needsPlatform && addresses.empty()) {
        output.error("--platform is needed");
        return ExitUsage;
    }
    io_thread thread;
    int code = ExitFailed;
    thread.run([&] {
        platform_client platform(thread, addresses);
        ctl_context context{thread, platform, output, std::move(arguments)};
        code = command.run(context);
    });
    return code;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage(usageText());
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const ctl_command *command = argc > 1 ? findCommand(argv[1]) : nullptr;
    if (command == nullptr || (FLAGS_output != "text" && FLAGS_output != "json")) {
        std::cerr << usageText();
        return ExitUsage;
    }
    exitProcess(runCommand(*command, {argv + 2, argv + argc}));
}
