// A thread with one io_context and one fiber scheduler.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/fiber/future.hpp>

#include <functional>
#include <memory>
#include <thread>

namespace tamarack {

/// @brief Runs fibers and their I/O on one thread until stopped.
///
/// Invariant: the thread's fiber scheduler ends with the thread, so no other thread wakes the fiber
/// that the thread ends with. Others only post to the io_context, which is shared.
class io_thread
{
public:
    /// Installs the calling thread's fiber scheduler.
    using scheduler_installer =
        std::function<void(const std::shared_ptr<boost::asio::io_context> &)>;

    io_thread();
    /// @param installScheduler called on the new thread instead of installing an asio_scheduler
    explicit io_thread(scheduler_installer installScheduler);
    io_thread(const io_thread &) = delete;
    io_thread &operator=(const io_thread &) = delete;
    /// Stops and joins; see stop.
    ~io_thread();

    /// @return the thread's io_context; objects made on it must be used on this thread only
    boost::asio::io_context &io() { return *m_io; }

    /// @brief Starts a fiber on this thread; callable from any thread.
    void spawn(std::function<void()> body);

    /// @brief Runs a function on this thread in a fiber and waits for its end; only the calling
    /// fiber is suspended.
    void run(std::function<void()> body);

    /// @brief Ends the thread once all its fibers have ended. A process whose fibers serve for ever
    /// leaves by exitProcess instead.
    void stop();

private:
    void threadMain();

    const scheduler_installer m_installScheduler;
    std::shared_ptr<boost::asio::io_context> m_io;
    boost::fibers::promise<void> m_stopped;
    bool m_stopRequested = false;
    std::thread m_thread;
};

} // namespace tamarack
