// Faults that tests seed on purpose, to show that their oracle notices them.
#pragma once

namespace tamarack {

/// @brief A deliberate fault; production code always runs with None.
enum class jobs_mutation {
    None,
    LastResultWins,
    EpochNotChecked,
    AnyResultWins, // LastResultWins and EpochNotChecked together
    RecordIdNotDeduplicated,
    SnapshotDropped,
    CopyDropped,
    CancelIgnored,
};

} // namespace tamarack
