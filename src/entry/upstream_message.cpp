// Checks the type of each field, because upstreams' errors differ in format.
#include <tamarackglade/core/json_text.hpp>
#include <tamarackglade/entry/upstream_message.hpp>

namespace tamarack {

std::string upstreamMessage(const std::string &body)
{
    const auto json = parseJson(body);
    if (json.is_object() && json.contains("error") && json["error"].is_object()) {
        const auto &error = json["error"];
        if (error.contains("message") && error["message"].is_string())
            return error["message"].get<std::string>();
    }
    return "the upstream refused the request";
}

} // namespace tamarack
