// Takes the answer of an upstream as it arrives.
#pragma once

#include <tamarackglade/events/stream_event.hpp>
#include <tamarackglade/gateway/response_metadata.hpp>
#include <tamarackglade/http/http_response.hpp>

namespace tamarack {

/// @brief The receiver of an event stream. A false return says that nobody wants the rest.
class response_sink
{
public:
    response_sink() = default;
    response_sink(const response_sink &) = delete;
    response_sink &operator=(const response_sink &) = delete;
    virtual ~response_sink() = default;

    /// @brief Takes the head of a stream; called for each upstream that sends a part of it.
    virtual bool onHead(const http_response &head, const response_metadata &metadata) = 0;
    /// @brief Takes the next event, each once and in order.
    virtual bool onEvent(const stream_event &event) = 0;
    /// @brief Tells that no further event is at hand.
    virtual bool onFlush() = 0;
};

} // namespace tamarack
