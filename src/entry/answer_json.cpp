// Serializes JSON results into HTTP responses.
#include <tamarackglade/entry/answer_json.hpp>

namespace tamarack {

void answerJson(const caller_request &request, const api_result<job_controller::json> &result)
{
    if (const auto *error = std::get_if<api_error>(&result)) {
        request.refuse(*error);
        return;
    }
    http_response response;
    response.body = std::get<job_controller::json>(result).dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
    response.headers.emplace_back("X-Request-Id", request.id.value());
    request.exchange.respond(response);
}

} // namespace tamarack
