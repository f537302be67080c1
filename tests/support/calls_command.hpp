// One step of a random run of the calls simulation.
#pragma once

#include <cstdint>
#include <ostream>

namespace tamarack::test {

struct calls_command
{
    enum class kind {
        SendOnline,
        SendOnce, // must not be repeated
        SendKeyed, // must not be repeated, with an Idempotency-Key
        SendBatch,
        CallerDisconnected,
        KillEntry,
        RestartSide,
        CutBoth,
        CutToSide,
        CutToEntry,
        StallToSide, // frames arrive after the entry has closed the connection
        SlowLink,
        DuplicateFrames,
        PauseSide,
        PauseEntry,
        Leave,
        Return,
        Drain,
        CrashRuns,
        RefuseOpen, // the next upstream request fails before anything is sent
        LogDown,
        LogUp,
        Advance,
        Last
    };

    kind what = kind::Advance;
    std::uint32_t a = 0; // selects the entry or a duration
    std::uint32_t b = 0; // selects the side, the key or a duration
};

inline std::ostream &operator<<(std::ostream &out, const calls_command &command)
{
    return out << static_cast<int>(command.what) << "(" << command.a << "," << command.b << ")";
}

} // namespace tamarack::test
