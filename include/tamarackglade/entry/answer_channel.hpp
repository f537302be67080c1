// Queue that passes an answer's events from the fiber of the wire connection to the request's
// fiber.
#pragma once

#include <tamarackglade/entry/answer_budget.hpp>
#include <tamarackglade/entry/answer_event.hpp>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <utility>

namespace tamarack {

/// @brief A queue between fibers, which may run on different threads. push never waits for a
/// reader.
///
/// Invariant: once the data of all channels exceed their budget, a channel that holds more than
/// SmallBytes discards its data and ends the answer with an error.
class answer_channel
{
public:
    /// Held whatever other channels hold.
    static constexpr std::size_t SmallBytes = 32 * 1024;

    explicit answer_channel(std::shared_ptr<answer_budget> budget) : m_budget(std::move(budget)) { }
    answer_channel(const answer_channel &) = delete;
    answer_channel &operator=(const answer_channel &) = delete;
    ~answer_channel() { m_budget->remove(m_heldBytes); }

    void push(answer_event event);

    /// @return whether the answer was ended because its data exceeded the budget
    [[nodiscard]] bool hasOverflowed();

    /// @brief Waits for the next event.
    /// @return the event, or nothing if none came within the timeout
    std::optional<answer_event> pop(std::chrono::milliseconds timeout);

    /// @return the next event, or nothing if the queue is empty
    std::optional<answer_event> tryPop();

private:
    std::optional<answer_event> takeFront();
    /// @brief Counts the data.
    /// @return false if the channel holds too many
    bool hold(std::size_t bytes);
    void endForOverflow();

    const std::shared_ptr<answer_budget> m_budget;
    boost::fibers::mutex m_mutex; // guards the members below
    boost::fibers::condition_variable m_arrived;
    std::deque<answer_event> m_events;
    std::size_t m_heldBytes = 0; // of the data in m_events
    bool m_hasOverflowed = false;
};

} // namespace tamarack
