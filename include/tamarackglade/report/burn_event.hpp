// One request that has ended.
#pragma once

#include <tamarackglade/config/objective_class.hpp>
#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/core/time.hpp>
#include <tamarackglade/report/burn_gap.hpp>
#include <tamarackglade/report/burn_result.hpp>

#include <optional>
#include <vector>

namespace tamarack {

/// @brief Refusals for the customer's rate aren't events; they go through onAdmission.
struct burn_event
{
    customer_id customer;
    objective_class requests = objective_class::Online;
    burn_result result = burn_result::Answered;
    bool streamed = false; // only streams have a first token and gaps
    std::optional<duration> firstToken; // from the request's arrival
    std::vector<burn_gap> gaps; // as gapsFor gave them
};

} // namespace tamarack
