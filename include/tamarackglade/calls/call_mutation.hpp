// Injected faults of the call tracker.
#pragma once

namespace tamarack {

/// @brief Faults that tests inject to show that their oracle detects them.
enum class call_mutation {
    None,
    RetryOnUnknown, // a call that may have run is sent again although it must not be repeated
    ClaimNotRun, // "not executed" is reported without proof
    KeepOldAttempts // frames of earlier attempts are accepted for the current one
};

} // namespace tamarack
