// An upstream's complete answer to one batch item.
#pragma once

#include <tamarackglade/schema/wire_generated.h>

#include <string>

namespace tamarack {

/// @brief Status and body, complete if outcome is Complete.
struct batch_answer
{
    schema::call_outcome outcome = schema::call_outcome::Unknown;
    std::string code; // error code, unless outcome is Complete
    unsigned status = 0; // HTTP; 0 if no head was received
    std::string body;
};

} // namespace tamarack
