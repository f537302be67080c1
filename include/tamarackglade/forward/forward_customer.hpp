// A customer of the forwarding configuration, and the list of them.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <string>
#include <vector>

namespace tamarack {

/// @brief A customer with its API keys, priority and fleet-wide rate limit.
struct forward_customer
{
    customer_id id;
    std::vector<std::string> keys;
    int priority = 0; // 0 is the highest; overrides the priority of the route if hasPriority
    bool hasPriority = false;
    double ratePerSecond = 0; // requests per second; 0 for no limit
    double burst = 0; // requests
};

/// @brief The customers of a configuration, as far as they can be read.
struct customer_list
{
    std::vector<forward_customer> customers;
    // One text for each fault. What it concerns is left out: a customer, or one of its keys, so
    // that a key that isn't found may be known after all.
    std::vector<std::string> faults;
};

} // namespace tamarack
