// Faults that tests inject to verify that their oracle detects them.
#pragma once

namespace tamarack {

/// @brief An injected fault; production code always uses None.
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
