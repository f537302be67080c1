// Whether a call ran, as far as it is known.
#pragma once

namespace tamarack {

enum class execution {
    No, // proved: no upstream received the call or ever will
    Yes, // an upstream answered
    Unknown // an upstream may have run it
};

/// @return "no", "yes" or "unknown"
const char *toText(execution value);

} // namespace tamarack
