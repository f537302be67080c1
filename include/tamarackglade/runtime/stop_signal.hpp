// Signals: those that come early, and the order to stop.
#pragma once

#include <tamarackglade/runtime/io_thread.hpp>

#include <functional>

namespace tamarack {

/// @brief Holds SIGHUP, SIGTERM and SIGINT back until releaseSignal, so that one that comes before
/// its handler stands doesn't end the process. Call first in main, before any thread starts.
void holdSignals();

/// @brief Lets a held signal through. Call on a thread that lives on, once its handler stands.
void releaseSignal(int signal);

/// @brief Blocks the calling thread until SIGTERM or SIGINT arrives, then runs drain in a fiber of
/// the thread and waits for its end.
/// @param drain finishes what is under way
/// @param onSecondSignal called if another signal arrives meanwhile; drain should end soon then
void runUntilStopped(io_thread &thread, const std::function<void()> &drain,
                     const std::function<void()> &onSecondSignal);

/// @brief Ends the process at once with the given exit code, without ending its fibers.
[[noreturn]] void exitProcess(int code);

} // namespace tamarack
