// Sends the result of an operation that returns JSON or an error.
#pragma once

#include <tamarackglade/entry/caller_request.hpp>
#include <tamarackglade/entry/job_controller.hpp>

namespace tamarack {

/// @brief Sends the JSON with status 200, or the error, as the response to a request.
void answerJson(const caller_request &request, const api_result<job_controller::json> &result);

} // namespace tamarack
