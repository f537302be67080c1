// Faults that tests seed into the gate, to show that their oracle finds them.
#pragma once

namespace tamarack {

enum class gate_mutation {
    None,
    NoTombstone, // a refused attempt may still start
    NoDedupe, // a repeated start_call runs again
    BatchBeforeOnline, // online requests wait for batch streams to end
    IgnoreLeaving, // a leaving upstream still gets new calls
    IgnoreAlone // other batch calls run beside one that must run alone
};

} // namespace tamarack
