// Interface that receives the response stream of an upstream.
#pragma once

#include <tamarackglade/events/stream_event.hpp>
#include <tamarackglade/gateway/upstream/response_metadata.hpp>
#include <tamarackglade/http/http_response.hpp>

namespace tamarack {

/// @brief Receives an event stream. Each callback returns false to cancel the attempt.
class response_sink
{
public:
    response_sink() = default;
    response_sink(const response_sink &) = delete;
    response_sink &operator=(const response_sink &) = delete;
    virtual ~response_sink() = default;

    /// @brief Called before the request is sent if the upstream doesn't confirm the start that its
    /// record names, so that its version is unknown.
    virtual void onUnknownStart() { }
    /// @brief Called when the response makes no progress in the time that its limits give, and
    /// again shortly afterwards while it makes none.
    /// @return whether to abandon the run; otherwise it goes on
    virtual bool onSilence() { return true; }
    /// @brief Called when the response makes progress.
    virtual void onProgress() { }
    /// @brief Called with the response head; again for each upstream that continues the stream.
    virtual bool onHead(const http_response &head, const response_metadata &metadata) = 0;
    /// @brief Called with the next event. Events come once each and in order.
    virtual bool onEvent(const stream_event &event) = 0;
    /// @brief Called when all events received so far have been passed on.
    virtual bool onFlush() = 0;
};

} // namespace tamarack
