// Ends a read or write that takes too long, and leaves the socket open.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <memory>

namespace tamarack {

/// @brief A timer that cancels the socket's pending operations. Beast's own timeout closes the
/// socket, so that a caller who sends too slowly could not be told, and an upstream that is silent
/// for a moment would be lost.
///
/// Operations are far more frequent than timeouts: a running timer is left alone when an operation
/// ends, and looks at the present deadline when it fires.
class operation_timeout
{
public:
    /// The socket must outlive this object.
    explicit operation_timeout(boost::asio::ip::tcp::socket &socket);
    operation_timeout(const operation_timeout &) = delete;
    operation_timeout &operator=(const operation_timeout &) = delete;
    ~operation_timeout();

    /// @brief Starts the time; without effect if it is zero.
    void arm(std::chrono::milliseconds timeout);

    /// @brief Stops the time.
    /// @return whether it had run out
    bool disarm();

private:
    using clock = std::chrono::steady_clock;

    struct timer_state
    {
        explicit timer_state(boost::asio::ip::tcp::socket &timed);

        boost::asio::ip::tcp::socket *socket; // null once the owner is gone
        boost::asio::steady_timer timer;
        std::uint64_t starts = 0; // a handler of an earlier start does nothing
        bool running = false; // the timer will fire, at timer.expiry()
        bool armed = false;
        bool expired = false;
        clock::time_point deadline; // while armed
    };

    static void start(const std::shared_ptr<timer_state> &state);
    static void onFired(const std::shared_ptr<timer_state> &state);

    std::shared_ptr<timer_state> m_state; // shared with the timer's handlers
};

} // namespace tamarack
