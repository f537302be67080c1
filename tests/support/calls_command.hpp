// One step of a random run of the calls simulation.
#pragma once

#include <cstdint>
#include <ostream>

namespace tamarack::test {

struct calls_command
{
    enum class kind {
        SendOnline,
        SendOnce, // may not be repeated
        SendKeyed, // may not be repeated, with an Idempotency-Key
        SendBatch,
        CallerDisconnected,
        KillEntry,
        RestartSide,
        CutBoth,
        CutToSide,
        CutToEntry,
        StallToSide, // frames arrive after the entry gave the connection up
        SlowLink,
        DuplicateFrames,
        PauseSide,
        PauseEntry,
        Leave,
        Return,
        Drain,
        CrashRuns,
        RefuseOpen, // the next opening fails before anything is sent
        LogDown,
        LogUp,
        Advance,
        Last
    };

    kind what = kind::Advance;
    std::uint32_t a = 0; // picks the entry, or how long
    std::uint32_t b = 0; // picks the side, or the key
};

inline std::ostream &operator<<(std::ostream &out, const calls_command &command)
{
    return out << static_cast<int>(command.what) << "(" << command.a << "," << command.b << ")";
}

} // namespace tamarack::test
