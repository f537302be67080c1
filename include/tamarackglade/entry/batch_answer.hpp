// The whole answer of an upstream to one batch item.
#pragma once

#include <tamarackglade/schema/wire_generated.h>

#include <string>

namespace tamarack {

/// @brief Status and body, complete if outcome is Complete.
struct batch_answer
{
    schema::call_outcome outcome = schema::call_outcome::Unknown;
    std::string code; // of an answer that isn't complete
    unsigned status = 0; // HTTP; 0 if no head came
    std::string body;
};

} // namespace tamarack
