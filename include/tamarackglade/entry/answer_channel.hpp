// Queue that passes an answer's events from the fiber of the wire connection to the request's
// fiber.
#pragma once

#include <tamarackglade/entry/answer_event.hpp>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <chrono>
#include <deque>
#include <optional>

namespace tamarack {

/// @brief An unbounded queue between fibers, which may run on different threads. push never waits
/// for a reader.
class answer_channel
{
public:
    void push(answer_event event);

    /// @brief Waits for the next event.
    /// @return the event, or nothing if none came within the timeout
    std::optional<answer_event> pop(std::chrono::milliseconds timeout);

    /// @return the next event, or nothing if the queue is empty
    std::optional<answer_event> tryPop();

private:
    std::optional<answer_event> takeFront();

    boost::fibers::mutex m_mutex; // guards m_events
    boost::fibers::condition_variable m_arrived;
    std::deque<answer_event> m_events;
};

} // namespace tamarack
