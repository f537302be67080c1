// The interface between calls and routing.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/core/time.hpp>
#include <tamarackglade/routing/attempt_result.hpp>
#include <tamarackglade/routing/route_query.hpp>

#include <optional>

namespace tamarack {

/// @brief Chooses upstreams and learns how attempts end.
class upstream_chooser
{
public:
    virtual ~upstream_chooser() = default;

    /// @return an upstream that the query does not exclude, if there is one
    virtual std::optional<upstream_id> choose(const route_query &query, time_point now) = 0;
    virtual void onAttemptStarted(const upstream_id &upstream, time_point now) = 0;
    virtual void onAttemptEnded(const upstream_id &upstream, attempt_result result,
                                time_point now) = 0;
};

} // namespace tamarack
