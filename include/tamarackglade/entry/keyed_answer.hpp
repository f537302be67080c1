// Result of a call with an Idempotency-Key.
#pragma once

#include <tamarackglade/calls/execution.hpp>
#include <tamarackglade/http/http_response.hpp>

namespace tamarack {

struct keyed_answer
{
    execution ran = execution::Unknown;
    http_response response; // as sent to the caller
};

} // namespace tamarack
