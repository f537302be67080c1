// One customer's state at one entry: waiting requests, borrowed tokens and, at the home, the
// bucket.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/core/timer_service.hpp>
#include <tamarackglade/limits/borrowed_tokens.hpp>
#include <tamarackglade/limits/customer_rate.hpp>
#include <tamarackglade/limits/lending_bucket.hpp>
#include <tamarackglade/limits/waiting_ticket.hpp>

#include <deque>
#include <optional>

namespace tamarack {

/// @brief The state that fleet_limiter keeps for a customer.
struct customer_limit
{
    customer_rate rate;
    partition_id partition;
    std::deque<waiting_ticket> waiting; // in order of arrival and so of deadline
    borrowed_tokens borrowed;
    std::optional<lending_bucket> bucket; // at the home only

    std::uint64_t requestSequence = 0; // of the last loan request
    std::uint64_t receivedSequence = 0; // of the last grant that arrived
    bool requestInFlight = false; // whether the last loan request has no grant yet
    time_point requestedAt;
    time_point nextRequestAt; // no loan request is sent earlier
    std::optional<time_point> returnAt; // when to report and return tokens without a request

    double recentUse = 0; // admissions, decaying over the prefetch horizon
    time_point recentUseAt;
    timer_service::timer_handle timer = 0;
};

} // namespace tamarack
