// Maps failures of calls to errors towards callers.
#pragma once

#include <tamarackglade/calls/call_error.hpp>
#include <tamarackglade/calls/call_failure.hpp>

namespace tamarack {

/// @brief Makes the error that a failed call is answered with.
/// @param retryAfter how long the caller should wait before a retry; used on status 503 only
call_error makeCallError(call_failure failure, execution ran, duration retryAfter);

} // namespace tamarack
