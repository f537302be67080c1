// How an attempt at an upstream ended, as routing sees it.
#pragma once

namespace tamarack {

enum class attempt_result {
    Succeeded,
    Failed, // the upstream's or its side's fault
    Refused, // not started; says nothing on the upstream's health
    Abandoned // by the caller
};

} // namespace tamarack
