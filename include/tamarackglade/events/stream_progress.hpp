// How far an event stream has been passed on, over all upstreams that sent parts of it.
#pragma once

#include <tamarackglade/events/stream_event.hpp>

namespace tamarack {

enum class event_check {
    Pass, // the next event of the stream
    Duplicate, // already passed on; drop it
    Gap // an event before it is missing; this upstream's stream can't be used
};

/// @brief Lets each event of a stream pass once and in order. Events without ids always pass.
class stream_progress
{
public:
    /// @param resumeAfter the id after which the caller asked to go on, if it did
    explicit stream_progress(std::optional<std::uint64_t> resumeAfter = std::nullopt)
        : m_last(resumeAfter)
    {
    }

    /// @brief Judges the next event; one that passes counts as passed on.
    event_check advance(const stream_event &event)
    {
        if (!event.id)
            return event_check::Pass;
        if (m_last && *event.id <= *m_last)
            return event_check::Duplicate;
        if (m_last && *event.id != *m_last + 1)
            return event_check::Gap;
        m_last = event.id;
        return event_check::Pass;
    }

    /// @return the id of the last event that passed, or where the caller asked to go on
    [[nodiscard]] std::optional<std::uint64_t> last() const { return m_last; }

private:
    std::optional<std::uint64_t> m_last; // never decreases
};

} // namespace tamarack
