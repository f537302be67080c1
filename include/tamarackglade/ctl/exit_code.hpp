// The exit codes of tamarackctl.
#pragma once

namespace tamarack {

enum exit_code : int {
    ExitDone = 0,
    ExitFailed = 1, // the platform or a process could not be reached
    ExitUsage = 2, // wrong arguments, or faults in a file
    ExitLost = 3, // superseded by another publish or a newer order
    ExitUnknown = 4, // whether the command took effect is unknown
    ExitTimeout = 5, // the awaited state was not reached within --timeout
    ExitRefused = 6, // the upstream refused the order
};

} // namespace tamarack
