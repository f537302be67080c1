// Sends one request to one upstream and passes its answer on.
#pragma once

#include <tamarackglade/events/stream_progress.hpp>
#include <tamarackglade/gateway/attempt_result.hpp>
#include <tamarackglade/gateway/platform_protocol.hpp>
#include <tamarackglade/gateway/response_sink.hpp>
#include <tamarackglade/gateway/upstream_pool.hpp>

namespace tamarack {

/// @brief Times of one attempt.
struct attempt_limits
{
    time_point deadline; // of the whole request
    duration silenceTimeout; // longest time without a byte; zero for no limit
    std::optional<time_point> firstEventDeadline; // of a stream
    duration maxIdleTime; // of a kept connection that may be used
};

/// @brief Lets another fiber end an attempt that waits.
class attempt_handle
{
public:
    /// @brief Closes the attempt's connection; the attempt ends as Cancelled.
    void abort();
    [[nodiscard]] bool aborted() const { return m_aborted; }

private:
    friend class upstream_caller;

    http_client *m_client = nullptr; // while an attempt is under way
    bool m_aborted = false;
};

/// @brief Runs attempts. All calls on the gateway's thread.
class upstream_caller
{
public:
    upstream_caller(upstream_pool &pool, const platform_protocol &protocol)
        : m_pool(pool), m_protocol(protocol)
    {
    }

    /// @brief Sends the request and passes a stream's events to the sink.
    /// @param streamed whether a successful answer is an event stream
    attempt_result run(const live_upstream &upstream, const http_client_request &request,
                       const request_id &id, bool streamed, const attempt_limits &limits,
                       stream_progress &progress, response_sink &sink, attempt_handle &handle);

private:
    attempt_result readResponse(http_client &client, const http_response &head,
                                const response_metadata &metadata, bool streamed,
                                const attempt_limits &limits, stream_progress &progress,
                                response_sink &sink);
    attempt_result readStream(http_client &client, const attempt_limits &limits,
                              stream_progress &progress, response_sink &sink);
    attempt_result readBody(http_client &client, const http_response &head,
                            const response_metadata &metadata, const attempt_limits &limits);

    upstream_pool &m_pool;
    const platform_protocol &m_protocol;
};

} // namespace tamarack
