// Faults that tests seed into the call tracker, to show that their oracle finds them.
#pragma once

namespace tamarack {

enum class call_mutation {
    None,
    RetryOnUnknown, // a call that may have run is sent again though it may not be repeated
    ClaimNotRun, // "not executed" is said without proof
    KeepOldAttempts // frames of earlier attempts count as the present one's
};

} // namespace tamarack
