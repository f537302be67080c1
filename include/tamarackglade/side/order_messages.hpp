// Orders and the upstream's state as the JSON of its order endpoint.
#pragma once

#include <tamarackglade/http/http_response.hpp>
#include <tamarackglade/orders/order_answer.hpp>
#include <tamarackglade/orders/upstream_order.hpp>
#include <tamarackglade/orders/upstream_state_report.hpp>

#include <absl/status/statusor.h>

#include <string>

namespace tamarack {

/// @return the body of POST /orders
std::string orderJson(const upstream_order &order);

/// @return what the upstream's answer to POST /orders, or the lack of one, means
order_answer readOrderAnswer(const absl::StatusOr<http_response> &response);

/// @return the content of GET /orders, or why it can't be used
absl::StatusOr<upstream_state_report>
readUpstreamState(const absl::StatusOr<http_response> &response);

} // namespace tamarack
