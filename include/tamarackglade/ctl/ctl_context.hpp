// What the commands of tamarackctl share.
#pragma once

#include <tamarackglade/ctl/ctl_output.hpp>
#include <tamarackglade/platform/platform_client.hpp>
#include <tamarackglade/runtime/io_thread.hpp>

#include <string>
#include <vector>

namespace tamarack {

/// @brief Services and arguments of one command.
struct ctl_context
{
    io_thread &thread;
    platform_client &platform;
    ctl_output &output;
    std::vector<std::string> arguments; // after the command's name
    std::string fleetSecret; // empty if no file was named
};

} // namespace tamarack
