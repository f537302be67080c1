// Sends a request to an upstream and reads its response.
#pragma once

#include <tamarackglade/attribution/response_verdict.hpp>
#include <tamarackglade/events/stream_progress.hpp>
#include <tamarackglade/gateway/process/platform_protocol.hpp>
#include <tamarackglade/gateway/relay/response_sink.hpp>
#include <tamarackglade/gateway/upstream/attempt_limits.hpp>
#include <tamarackglade/gateway/upstream/attempt_result.hpp>
#include <tamarackglade/gateway/upstream/response_listener.hpp>
#include <tamarackglade/gateway/upstream/run_watch.hpp>
#include <tamarackglade/gateway/upstream/upstream_pool.hpp>

#include <utility>
#include <vector>

namespace tamarack {

/// @brief Lets another fiber cancel an attempt.
class attempt_handle
{
public:
    /// @brief Closes the attempt's connection. The attempt then ends as Cancelled.
    void abort();
    [[nodiscard]] bool aborted() const { return m_aborted; }

private:
    friend class upstream_caller;

    http_client *m_client = nullptr; // null unless an attempt is in progress
    bool m_aborted = false;
};

/// @brief Runs attempts at upstreams. All calls on the gateway's thread.
class upstream_caller
{
public:
    /// @param listeners of all responses; must outlive the caller
    static constexpr std::size_t DefaultResponseBytes = 32 * 1024 * 1024;

    /// @param startListener of starts that upstreams state; null for none; must outlive the caller
    /// @param responseBytes that all responses in progress may hold together
    upstream_caller(upstream_pool &pool, const platform_protocol &protocol,
                    std::vector<response_listener *> listeners,
                    start_listener *startListener = nullptr,
                    std::size_t responseBytes = DefaultResponseBytes)
        : m_pool(pool), m_protocol(protocol), m_listeners(std::move(listeners)),
          m_startListener(startListener), m_responseBytes(responseBytes)
    {
    }

    /// @return the bytes that responses in progress hold
    [[nodiscard]] std::size_t responseBytes() const { return m_responseBytes.used(); }

    /// @brief Sends the request and passes the events of a streamed response to the sink.
    /// @param id request id that the response must name if it names any; the request isn't sent on
    /// a connection on which a copy of an earlier response could be taken for its response
    /// @param streamed whether a successful response is an event stream
    attempt_result run(const live_upstream &upstream, const http_client_request &request,
                       const request_id &id, bool streamed, const attempt_limits &limits,
                       stream_progress &progress, response_sink &sink, attempt_handle &handle);

private:
    struct attempt; // what run() is called with

    /// @return the result if the request must not be sent
    std::optional<attempt_result> checkStart(const attempt &call, pooled_client &pooled,
                                             attempt_evidence &evidence);
    /// @brief Sends the request and reads its response.
    attempt_result exchange(const attempt &call, pooled_client &pooled, attempt_evidence &evidence);
    /// @brief Sends the request and reads up to the head of its response.
    absl::StatusOr<http_response> sendRequest(const attempt &call, http_client &client,
                                              attempt_evidence &evidence);
    attempt_result failToSend(const attempt &call, const pooled_client &pooled,
                              const absl::Status &status);
    void notifyListeners(const live_upstream &upstream, const response_metadata &metadata);
    attempt_result readResponse(const attempt &call, http_client &client, run_watch &watch,
                                const http_response &head, const response_metadata &metadata,
                                response_verdict verdict);
    attempt_result readStream(const attempt &call, http_client &client, run_watch &watch);
    attempt_result readBody(const attempt &call, http_client &client, run_watch &watch,
                            const http_response &head, const response_metadata &metadata,
                            std::size_t maxBytes);

    upstream_pool &m_pool;
    const platform_protocol &m_protocol;
    const std::vector<response_listener *> m_listeners;
    start_listener *const m_startListener;
    byte_quota m_responseBytes; // of bodies, and of events that aren't complete
};

} // namespace tamarack
