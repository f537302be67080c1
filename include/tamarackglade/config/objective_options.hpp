// Section [objective NAME] of the manifest: one service-level objective.
#pragma once

#include <tamarackglade/config/objective_class.hpp>
#include <tamarackglade/config/objective_kind.hpp>
#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/core/time.hpp>

#include <string>

namespace tamarack {

struct objective_options
{
    std::string name;
    objective_kind kind = objective_kind::Availability;
    objective_class requests = objective_class::All;
    customer_id customer; // empty: all customers together
    double targetPercent = 0; // share of good events, above 0 and below 100
    duration threshold{}; // above zero exactly for FirstToken and TokenGap
};

} // namespace tamarack
