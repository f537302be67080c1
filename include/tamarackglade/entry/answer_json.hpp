// Answers of operations that give JSON or an error.
#pragma once

#include <tamarackglade/entry/caller_request.hpp>
#include <tamarackglade/entry/job_controller.hpp>

namespace tamarack {

/// @brief Answers a request with the JSON, or with the error.
void answerJson(const caller_request &request, const api_result<job_controller::json> &result);

} // namespace tamarack
