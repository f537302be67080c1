// Bounds what a process holds for its callers: bytes and connections.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <cstddef>
#include <functional>
#include <list>
#include <memory>

namespace tamarack {

/// @brief Limits of all connections together.
struct budget_limits
{
    std::size_t bytes = 0;
    std::size_t connections = 0;
};

/// @brief What a connection does; decides whether it may be ended for others.
enum class connection_phase {
    Idle, ///< between requests, or refused and waiting for the caller to close
    Receiving, ///< a request is being read
    Waiting, ///< a request is read on when there is room
    Running, ///< a request is being answered
    Sending, ///< the caller has to read before the answer goes on
};

/// @brief Reasons for which connections were ended, for metrics.
struct budget_counts
{
    std::size_t stalled = 0; // nothing was read or written for a while
    std::size_t idle = 0;
    std::size_t largest = 0; // held more than the others that were being read
    std::size_t refused = 0; // connections that found no place
    std::size_t denied = 0; // bytes that found no room
};

/// @brief Decides which callers may hold memory and descriptors, so that callers outside the limits
/// of their requests can't end the process.
///
/// Room is made for a request in this order:
/// 1. the connection that holds most of those that have made no progress for StallTime: bodies that
///    stop short of their end, answers that nobody reads;
/// 2. the request that holds most of those being read, if it holds more than SmallBytes. If that is
///    the request which needs room, it is denied;
/// 3. the connection that has been idle for the longest time.
///
/// Small requests of ordinary callers therefore find room beside any number of large ones. Requests
/// that have been read whole are never ended. On one thread.
class connection_budget
{
public:
    /// Time without a byte after which a connection counts as stalled. Longer than a lost packet is
    /// sent again.
    static constexpr std::chrono::milliseconds StallTime{1'000};
    static constexpr std::size_t SmallBytes = 64 * 1024;
    /// What a connection holds besides its request: its stack and read buffer.
    static constexpr std::size_t ConnectionBytes = 32 * 1024;

    /// @brief A connection in the budget; its destruction frees what it holds.
    class share;

    explicit connection_budget(budget_limits limits) : m_limits(limits) { }
    connection_budget(const connection_budget &) = delete;
    connection_budget &operator=(const connection_budget &) = delete;

    /// @brief Adds a connection; ends an idle or stalled one if there are too many.
    /// @param close ends the connection at once; its share remains until the owner destroys it
    /// @return null if there is no place
    std::unique_ptr<share> open(std::function<void()> close, time_point now);

    [[nodiscard]] std::size_t bytes() const { return m_bytes; }
    [[nodiscard]] std::size_t connections() const { return m_connections; }
    [[nodiscard]] const budget_counts &counts() const { return m_counts; }
    [[nodiscard]] const budget_limits &limits() const { return m_limits; }

private:
    struct holder
    {
        std::function<void()> close;
        std::size_t bytes = ConnectionBytes;
        connection_phase phase = connection_phase::Idle;
        time_point progressAt{}; // of the last byte, or of the last change of the phase
        bool ended = false; // closed for others
    };
    using holder_iterator = std::list<holder>::iterator;

    bool makeRoom(std::size_t bytes, const holder *asker, time_point now);
    holder *mostStalled(time_point now);
    holder *largestReceiving();
    holder *longestIdle();
    void end(holder &each, std::size_t &count);
    void remove(holder_iterator each);

    const budget_limits m_limits;
    std::list<holder> m_holders;
    std::size_t m_bytes = 0; // of all holders, as ended ones hold theirs until they are removed
    std::size_t m_connections = 0; // holders that are not ended
    budget_counts m_counts;
};

class connection_budget::share
{
public:
    share(connection_budget &budget, holder_iterator holder)
        : m_budget(budget), m_holder(holder) { }
    share(const share &) = delete;
    share &operator=(const share &) = delete;
    ~share() { m_budget.remove(m_holder); }

    /// @brief Counts bytes that the connection is about to hold.
    /// @return false if there is no room, or not yet; nothing is counted then
    bool reserve(std::size_t bytes, time_point now);
    /// @brief Counts bytes of an answer, which is delivered in any case; makes room if it can.
    void charge(std::size_t bytes, time_point now);
    /// @brief Frees all but what an idle connection holds.
    void releaseRequest();
    /// @brief Sets the phase and counts as progress.
    void setPhase(connection_phase phase, time_point now);
    /// @return whether the connection was ended for others
    [[nodiscard]] bool ended() const { return m_holder->ended; }
    [[nodiscard]] std::size_t bytes() const { return m_holder->bytes; }

private:
    void add(std::size_t bytes);

    connection_budget &m_budget;
    const holder_iterator m_holder;
};

} // namespace tamarack
