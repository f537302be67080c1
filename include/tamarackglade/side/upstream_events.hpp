// Interface that receives the answer of one upstream call.
#pragma once

#include <string>

namespace tamarack {

/// @brief How an upstream call ended.
enum class upstream_end {
    Complete, // the whole answer was received
    NotSent, // no connection was made, so the upstream never received the call
    Broken, // the connection failed after the call may have been sent
    TimedOut,
    Aborted, // by upstream_call::abort
};

/// @brief Called in the call's fiber, in this order: head, data any number of times, end once.
class upstream_events
{
public:
    upstream_events() = default;
    upstream_events(const upstream_events &) = delete;
    upstream_events &operator=(const upstream_events &) = delete;
    virtual ~upstream_events() = default;

    virtual void onHead(unsigned status, const std::string &contentType) = 0;
    /// @return whether the call may go on; if not, it ends with upstream_end::Broken
    [[nodiscard]] virtual bool onData(std::string data) = 0;
    virtual void onEnd(upstream_end end, const std::string &message) = 0;
};

} // namespace tamarack
