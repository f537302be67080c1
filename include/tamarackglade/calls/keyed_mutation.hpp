// Faults that tests seed into the keyed-call tracker.
#pragma once

namespace tamarack {

enum class keyed_mutation {
    None,
    RunUnclaimed // a call runs although another one holds its key
};

} // namespace tamarack
