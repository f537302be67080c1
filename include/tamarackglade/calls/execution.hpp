// Whether a call was executed.
#pragma once

namespace tamarack {

/// @brief What is proved about the execution of a call.
enum class execution {
    No, // proved: no upstream received the call or will receive it
    Yes, // an upstream answered
    Unknown // an upstream may have run it
};

/// @return "no", "yes" or "unknown"
const char *toText(execution value);

} // namespace tamarack
