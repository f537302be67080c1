// Faults that tests seed into the keyed-call desk.
#pragma once

namespace tamarack {

enum class keyed_mutation {
    None,
    RunUnclaimed // a call runs although another one holds its key
};

} // namespace tamarack
