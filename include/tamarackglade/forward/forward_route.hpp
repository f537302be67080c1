// A route of the forwarding configuration: a host, a path prefix and how their requests are served.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/core/time.hpp>
#include <tamarackglade/forward/route_kind.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace tamarack {

/// @brief An upstream group and its weight in the distribution of a route's requests.
struct weighted_group
{
    group_id group;
    double weight = 1;

    friend bool operator==(const weighted_group &, const weighted_group &) = default;
};

/// @brief A route. It serves the requests to its host whose path begins with its prefix, unless a
/// route with a longer prefix matches.
struct forward_route
{
    std::string name;
    std::string host; // lower case, without a port
    std::string prefix; // begins and ends with a slash
    route_kind kind = route_kind::Once;
    bool resumable = false; // of streams: any upstream can resume after a given event
    bool open = false; // served without a key
    std::vector<weighted_group> groups; // never empty
    unsigned attempts = 1; // maximum number of upstreams that one request is sent to
    duration timeout{}; // until the final answer; zero for no limit
    duration latencyObjective{}; // of streams: to the first event; of jobs: to the acceptance
    int priority = 0; // 0 is the highest
    duration completionObjective{}; // of jobs: until all results
    duration retention{}; // of jobs: after it unfinished items may be abandoned; zero for no limit
    std::uint64_t waitingTokenLimit = 0; // of jobs: tokens per customer; 0 for no limit

    friend bool operator==(const forward_route &, const forward_route &) = default;
};

} // namespace tamarack
