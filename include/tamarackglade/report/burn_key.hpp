// Key of a count in the burn report.
#pragma once

#include <tamarackglade/config/objective_class.hpp>
#include <tamarackglade/core/ids.hpp>

#include <string>
#include <tuple>

namespace tamarack {

/// @brief Requests of one customer and class, counted for one objective of the manifest.
struct burn_key
{
    customer_id customer;
    objective_class requests = objective_class::Online; // never All
    std::string objective; // its name in the manifest

    friend bool operator==(const burn_key &, const burn_key &) = default;
    friend bool operator<(const burn_key &left, const burn_key &right)
    {
        return std::tie(left.customer, left.requests, left.objective)
               < std::tie(right.customer, right.requests, right.objective);
    }
};

} // namespace tamarack
