// Sets the time by which a response has to make progress, and asks what follows if it makes none.
#pragma once

#include <tamarackglade/gateway/relay/response_sink.hpp>
#include <tamarackglade/gateway/upstream/attempt_limits.hpp>
#include <tamarackglade/http/http_client.hpp>

namespace tamarack {

/// @brief Watches the progress of one attempt: a head, a body part or an event that is new to the
/// caller.
///
/// Invariant: before the request's deadline a run ends for its silence only if the sink abandons
/// it.
class run_watch
{
public:
    /// @param client that reads the response; must outlive the watch, as the limits and the sink
    run_watch(http_client &client, const attempt_limits &limits, response_sink &sink);
    run_watch(const run_watch &) = delete;
    run_watch &operator=(const run_watch &) = delete;
    ~run_watch();

    /// @brief Notes that the request is sent, or that its response is read on.
    void onWait();
    /// @brief Notes progress.
    /// @param streamStarted whether the caller has an event of this response
    void onProgress(bool streamStarted);

    /// @return the time since the last progress
    [[nodiscard]] duration silentFor() const;

private:
    void setDeadline();
    /// @return until when the run goes on; nullopt if it ends
    std::optional<time_point> onDeadline();

    http_client &m_client;
    const attempt_limits &m_limits;
    response_sink &m_sink;
    const time_point m_startedAt;
    bool m_streamStarted = false;
    time_point m_progressAt{};
};

} // namespace tamarack
