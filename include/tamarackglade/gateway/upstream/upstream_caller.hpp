// Sends a request to an upstream and reads its response.
#pragma once

#include <tamarackglade/attribution/response_verdict.hpp>
#include <tamarackglade/events/stream_progress.hpp>
#include <tamarackglade/gateway/process/platform_protocol.hpp>
#include <tamarackglade/gateway/relay/response_sink.hpp>
#include <tamarackglade/gateway/upstream/attempt_result.hpp>
#include <tamarackglade/gateway/upstream/response_listener.hpp>
#include <tamarackglade/gateway/upstream/upstream_pool.hpp>

#include <utility>
#include <vector>

namespace tamarack {

/// Whether the upstream has to be at the start that its record names, so that its version is known.
enum class start_check {
    None, // the record is current, or the version doesn't matter
    Wanted, // the request is sent in any case; response_sink::onUnknownStart() tells the result
    Required // the request is sent only if the upstream confirms the start
};

/// @brief Time limits and conditions of one attempt.
struct attempt_limits
{
    time_point deadline; // of the whole request
    duration silenceTimeout; // maximum time without progress; zero for no limit
    std::optional<time_point> firstEventDeadline; // deadline of a stream's first event
    duration maxIdleTime; // a connection that was idle longer is not reused
    start_check startCheck = start_check::None;
    bool isLastResort = false; // no other upstream is left; the first event may take all the time
};

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
    /// @param startListener of starts that upstreams state; null for none; must outlive the caller
    upstream_caller(upstream_pool &pool, const platform_protocol &protocol,
                    std::vector<response_listener *> listeners,
                    start_listener *startListener = nullptr)
        : m_pool(pool), m_protocol(protocol), m_listeners(std::move(listeners)),
          m_startListener(startListener)
    {
    }

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
    std::optional<attempt_result> checkStart(const attempt &call, pooled_client &pooled);
    /// @brief Sends the request and reads its response.
    attempt_result exchange(const attempt &call, pooled_client &pooled);
    /// @brief Sends the request and reads up to the head of its response.
    absl::StatusOr<http_response> sendRequest(const attempt &call, http_client &client,
                                              attempt_evidence &evidence);
    attempt_result failToSend(const attempt &call, const pooled_client &pooled,
                              const absl::Status &status);
    void notifyListeners(const live_upstream &upstream, const response_metadata &metadata);
    attempt_result readResponse(const attempt &call, http_client &client, const http_response &head,
                                const response_metadata &metadata, response_verdict verdict);
    attempt_result readStream(http_client &client, const attempt_limits &limits,
                              stream_progress &progress, response_sink &sink);
    attempt_result readBody(http_client &client, const http_response &head,
                            const response_metadata &metadata, const attempt_limits &limits,
                            std::size_t maxBytes);

    upstream_pool &m_pool;
    const platform_protocol &m_protocol;
    const std::vector<response_listener *> m_listeners;
    start_listener *const m_startListener;
    std::size_t m_bufferedBytes = 0; // of all bodies that are being read and are no event stream
};

} // namespace tamarack
