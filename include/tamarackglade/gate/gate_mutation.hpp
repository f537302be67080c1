// Faults that tests inject into the gate to check that they detect them.
#pragma once

namespace tamarack {

enum class gate_mutation {
    None,
    NoTombstone, // refusing an attempt records nothing, so it may still start
    NoDedupe, // a repeated start_call runs again
    BatchBeforeOnline, // online requests wait for batch streams to end
    IgnoreLeaving, // a leaving upstream still receives new calls
    IgnoreAlone // other batch calls run beside one that must run alone
};

} // namespace tamarack
