// What the head of a response says about itself.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <optional>

namespace tamarack {

/// @brief The parts of a response's head that identify its request, and what it claims.
struct response_facts
{
    unsigned status = 0;
    std::optional<request_id> names; // the request that it says it belongs to
    std::optional<upstream_id> instance; // the upstream that says it answers
    bool isSigned = false;
    bool claimsNotRun = false; // says that its request was not run and won't be
};

} // namespace tamarack
