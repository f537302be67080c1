// The interface through which calls use routing.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/core/time.hpp>
#include <tamarackglade/routing/attempt_result.hpp>
#include <tamarackglade/routing/route_query.hpp>

#include <optional>

namespace tamarack {

/// @brief Chooses upstreams and tracks the attempts at them.
class upstream_chooser
{
public:
    virtual ~upstream_chooser() = default;

    /// @return an upstream that the query does not exclude; nullopt if none is usable
    virtual std::optional<upstream_id> choose(const route_query &query, time_point now) = 0;

    /// @brief Counts an attempt that was sent to the upstream.
    virtual void onAttemptStarted(const upstream_id &upstream, time_point now) = 0;

    /// @brief Counts the end of an attempt and its result.
    virtual void onAttemptEnded(const upstream_id &upstream, attempt_result result,
                                time_point now) = 0;
};

} // namespace tamarack
