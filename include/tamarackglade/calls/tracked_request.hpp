// A caller's request, admitted and ready to be sent to an upstream.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/core/time.hpp>
#include <tamarackglade/schema/wire_generated.h>

#include <cstdint>

namespace tamarack {

/// @brief A request and the frame that is sent to its upstream.
struct tracked_request
{
    request_id id;
    group_id group;
    model_id model; // empty for services
    time_point deadline{};
    std::uint64_t prefixHash = 0; // of the prompt's beginning; 0 if there is none
    // The frame to send; the tracker sets attempt, request_id and deadline_ms.
    schema::start_call_message call;
};

} // namespace tamarack
