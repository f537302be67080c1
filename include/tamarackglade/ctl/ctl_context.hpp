// Services and arguments that tamarackctl passes to a command.
#pragma once

#include <tamarackglade/ctl/ctl_output.hpp>
#include <tamarackglade/platform/platform_client.hpp>
#include <tamarackglade/runtime/io_thread.hpp>

#include <string>
#include <vector>

namespace tamarack {

/// @brief Everything that one run of a command uses.
struct ctl_context
{
    io_thread &thread;
    platform_client &platform;
    ctl_output &output;
    std::vector<std::string> arguments; // after the command's name
    std::string fleetSecret; // empty without --fleet_secret_file
};

} // namespace tamarack
