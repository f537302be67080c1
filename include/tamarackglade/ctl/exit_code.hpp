// The exit codes of tamarackctl.
#pragma once

namespace tamarack {

enum exit_code : int {
    ExitDone = 0,
    ExitFailed = 1, // the platform or a process could not be reached
    ExitUsage = 2, // wrong arguments, or faults in a file
    ExitLost = 3, // another publish or a newer order won
    ExitUnknown = 4, // whether it took effect is not known
    ExitTimeout = 5, // what was waited for did not happen in time
    ExitRefused = 6, // the upstream refused the order
};

} // namespace tamarack
