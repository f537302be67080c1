// Converts orders and the upstream's state to and from the JSON of the upstream's order endpoint.
#pragma once

#include <tamarackglade/http/http_response.hpp>
#include <tamarackglade/orders/order_answer.hpp>
#include <tamarackglade/orders/upstream_order.hpp>
#include <tamarackglade/orders/upstream_state_report.hpp>

#include <absl/status/statusor.h>

#include <string>

namespace tamarack {

/// @return the JSON body of POST /orders
std::string orderJson(const upstream_order &order);

/// @brief Classifies the result of POST /orders.
/// @param response the upstream's response, or the error of the HTTP client
/// @return Done on status 200, Busy on 429 and 5xx, Refused on any other status; NotSent on a
/// client error Unavailable, Unknown on any other one
order_answer readOrderAnswer(const absl::StatusOr<http_response> &response);

/// @brief Parses the response to GET /orders.
/// @return the state; the client's error, or Unavailable if the response is not usable
absl::StatusOr<upstream_state_report>
readUpstreamState(const absl::StatusOr<http_response> &response);

} // namespace tamarack
