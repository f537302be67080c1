// Serializes orders and parses the responses of the upstream's order endpoint.
#include <tamarackglade/core/json_text.hpp>
#include <tamarackglade/orders/order_kind_name.hpp>
#include <tamarackglade/side/order_messages.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <nlohmann/json.hpp>

namespace tamarack {

namespace {

using json = nlohmann::json;

constexpr unsigned TooManyRequests = 429;
constexpr unsigned FirstServerError = 500;

std::string failureText(const http_response &response)
{
    const auto body = parseJson(response.body);
    const json::json_pointer path("/error/message");
    if (body.is_object() && body.contains(path) && body[path].is_string())
        return body[path].get<std::string>();
    return absl::StrCat("the upstream answered ", response.status);
}

void addInForce(const json &entry, upstream_state_report &report)
{
    if (entry.is_object() && entry.contains("order_id") && entry["order_id"].is_string())
        report.inForce.push_back(entry["order_id"].get<std::string>());
}

} // namespace

std::string orderJson(const upstream_order &order)
{
    nlohmann::ordered_json object;
    object["order_id"] = order.id;
    object["fence"] = order.fence.value();
    object["kind"] = absl::StrReplaceAll(orderKindName(order.kind), {{"-", "_"}});
    object["argument"] = order.argument;
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

order_answer readOrderAnswer(const absl::StatusOr<http_response> &response)
{
    if (absl::IsUnavailable(response.status()))
        return {order_outcome::NotSent, std::string(response.status().message())};
    if (!response.ok())
        return {order_outcome::Unknown, std::string(response.status().message())};
    if (response->status == 200)
        return {order_outcome::Done, ""};
    if (response->status == TooManyRequests || response->status >= FirstServerError)
        return {order_outcome::Busy, failureText(*response)};
    return {order_outcome::Refused, failureText(*response)};
}

absl::StatusOr<upstream_state_report>
readUpstreamState(const absl::StatusOr<http_response> &response)
{
    if (!response.ok())
        return response.status();
    if (response->status != 200)
        return absl::UnavailableError(absl::StrCat("the upstream answered ", response->status));
    const auto body = parseJson(response->body);
    if (!body.is_object() || !body.contains("in_force") || !body["in_force"].is_array())
        return absl::UnavailableError(
            "the upstream's state is malformed: it has no array \"in_force\"");
    upstream_state_report report;
    for (const json &entry : body["in_force"])
        addInForce(entry, report);
    if (body.contains("highest_fence") && body["highest_fence"].is_number_unsigned())
        report.highestFence = fence_number(body["highest_fence"].get<std::uint64_t>());
    return report;
}

} // namespace tamarack
