// Injected faults of the keyed-call tracker.
#pragma once

namespace tamarack {

/// @brief Faults that tests inject to show that their oracle detects them.
enum class keyed_mutation {
    None,
    RunUnclaimed // a call runs although another one holds its key
};

} // namespace tamarack
