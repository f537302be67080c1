// Receivers of what upstreams state about themselves.
#pragma once

#include <tamarackglade/gateway/upstream/response_metadata.hpp>
#include <tamarackglade/placement/live_upstream.hpp>

namespace tamarack {

/// @brief Receives the metadata of each response that surely came from the upstream.
class response_listener
{
public:
    response_listener() = default;
    response_listener(const response_listener &) = delete;
    response_listener &operator=(const response_listener &) = delete;
    virtual ~response_listener() = default;

    virtual void onResponse(const live_upstream &upstream, const response_metadata &metadata) = 0;
};

/// @brief Receives the start that an upstream states, whatever its record says.
class start_listener
{
public:
    start_listener() = default;
    start_listener(const start_listener &) = delete;
    start_listener &operator=(const start_listener &) = delete;
    virtual ~start_listener() = default;

    virtual void onStart(const upstream_id &upstream, incarnation_number start) = 0;
};

} // namespace tamarack
