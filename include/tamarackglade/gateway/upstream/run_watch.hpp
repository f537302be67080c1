// Sets the time by which a response has to make progress.
#pragma once

#include <tamarackglade/gateway/upstream/attempt_limits.hpp>
#include <tamarackglade/http/http_client.hpp>

namespace tamarack {

/// @brief Watches the progress of one attempt: a head, a body part or an event that is new to the
/// caller.
class run_watch
{
public:
    /// @param client that reads the response; must outlive the watch, as the limits
    run_watch(http_client &client, const attempt_limits &limits);

    /// @brief Notes that the request is sent, or that its response is read on.
    void onWait();
    /// @brief Notes progress.
    /// @param streamStarted whether the caller has an event of this response
    void onProgress(bool streamStarted);

    /// @return the time since the last progress
    [[nodiscard]] duration silentFor() const;

private:
    void setDeadline();

    http_client &m_client;
    const attempt_limits &m_limits;
    bool m_streamStarted = false;
    time_point m_progressAt{};
};

} // namespace tamarack
