// Waits for the order to stop.
#pragma once

#include <tamarackglade/runtime/io_thread.hpp>

#include <functional>

namespace tamarack {

/// @brief Blocks the calling thread until SIGTERM or SIGINT arrives, then runs drain in a fiber of
/// the thread and waits for its end.
/// @param drain finishes what is under way
/// @param onSecondSignal called if another signal arrives meanwhile; drain should end soon then
void runUntilStopped(io_thread &thread, const std::function<void()> &drain,
                     const std::function<void()> &onSecondSignal);

/// @brief Ends the process at once with the given exit code, without ending its fibers.
[[noreturn]] void exitProcess(int code);

} // namespace tamarack
