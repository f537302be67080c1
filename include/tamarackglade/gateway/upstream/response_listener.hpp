// Receiver of what upstreams state about themselves in their responses.
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

} // namespace tamarack
