// Input of the burn counter.
#pragma once

#include <tamarackglade/config/objective_class.hpp>
#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/core/time.hpp>
#include <tamarackglade/report/burn_gap.hpp>
#include <tamarackglade/report/burn_result.hpp>

#include <optional>
#include <vector>

namespace tamarack {

/// @brief An ended request. A refusal by the customer's rate limit is not an event:
/// burn_counter::onAdmission counts it.
struct burn_event
{
    customer_id customer;
    objective_class requests = objective_class::Online;
    burn_result result = burn_result::Answered;
    bool streamed = false; // only streams have a first token and gaps
    std::optional<duration> firstToken; // time since the request arrived; absent: none sent
    std::vector<burn_gap> gaps; // from burn_counter::gapsFor, with the counts
};

} // namespace tamarack
