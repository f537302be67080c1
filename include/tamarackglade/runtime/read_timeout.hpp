// Ends a read that takes too long, and leaves the socket open.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <memory>

namespace tamarack {

/// @brief A timer that cancels the socket's pending operations. Beast's own timeout closes the
/// socket, so that a caller who sends too slowly could not be told.
class read_timeout
{
public:
    /// The socket must outlive this object.
    explicit read_timeout(boost::asio::ip::tcp::socket &socket);
    read_timeout(const read_timeout &) = delete;
    read_timeout &operator=(const read_timeout &) = delete;
    ~read_timeout();

    /// @brief Starts the time; without effect if it is zero.
    void arm(std::chrono::milliseconds timeout);

    /// @brief Stops the time.
    /// @return whether it had run out
    bool disarm();

private:
    struct timer_state
    {
        boost::asio::ip::tcp::socket *socket; // null once the owner is gone
        std::uint64_t armed = 0; // number of the current arming; 0 while disarmed
        bool expired = false;
    };

    boost::asio::steady_timer m_timer;
    std::shared_ptr<timer_state> m_state; // shared with the timer's handlers
    std::uint64_t m_armings = 0;
};

} // namespace tamarack
