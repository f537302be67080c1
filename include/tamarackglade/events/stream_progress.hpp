// Position in an event stream whose parts may come from several upstreams.
#pragma once

#include <tamarackglade/events/stream_event.hpp>

namespace tamarack {

/// @brief Result of the check of an event's id.
enum class event_check {
    Pass, // the next event of the stream; forward it
    Duplicate, // forwarded before; drop it
    Gap // an earlier event is missing; this upstream's stream can't be used
};

/// @brief Ensures that each event of a stream is forwarded once and in order. Events without ids
/// always pass.
class stream_progress
{
public:
    /// @param resumeAfter id of the event after which the caller resumes the stream, if it does
    explicit stream_progress(std::optional<std::uint64_t> resumeAfter = std::nullopt)
        : m_last(resumeAfter)
    {
    }

    /// @brief Checks the next event, and records its id as forwarded if it passes.
    event_check advance(const stream_event &event)
    {
        if (!event.id)
            return event_check::Pass;
        if (m_last && *event.id <= *m_last)
            return event_check::Duplicate;
        if (m_last && *event.id != *m_last + 1)
            return event_check::Gap;
        m_last = event.id;
        m_unfinished = false;
        return event_check::Pass;
    }

    /// @brief Records that an upstream broke off inside the next event.
    void setUnfinished() { m_unfinished = true; }
    /// @return whether the next event is known to exist
    [[nodiscard]] bool isUnfinished() const { return m_unfinished; }

    /// @return the id of the last event that passed, or resumeAfter before the first
    [[nodiscard]] std::optional<std::uint64_t> last() const { return m_last; }

private:
    std::optional<std::uint64_t> m_last; // never decreases
    bool m_unfinished = false; // a part of the event after m_last was received
};

} // namespace tamarack
