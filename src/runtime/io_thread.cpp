// A thread whose main fiber waits for the order to stop while others do the work.
#include <tamarackglade/runtime/asio_scheduler.hpp>
#include <tamarackglade/runtime/io_thread.hpp>

#include <boost/asio/post.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

#include <utility>

namespace tamarack {

io_thread::io_thread()
    : m_io(std::make_shared<boost::asio::io_context>(1)), m_thread([this] { threadMain(); })
{
}

io_thread::~io_thread()
{
    stop();
}

void io_thread::spawn(std::function<void()> body)
{
    boost::asio::post(*m_io, [body = std::move(body)]() mutable {
        boost::fibers::fiber(boost::fibers::launch::post, std::move(body)).detach();
    });
}

void io_thread::run(std::function<void()> body)
{
    // Shared with the fiber: the waiting side may return while set_value is still at work.
    auto done = std::make_shared<boost::fibers::promise<void>>();
    auto future = done->get_future();
    spawn([done, body = std::move(body)] {
        body();
        done->set_value();
    });
    future.get();
}

void io_thread::stop()
{
    if (m_stopRequested)
        return;
    m_stopRequested = true;
    m_stopped.set_value();
    m_thread.join();
}

void io_thread::threadMain()
{
    boost::fibers::use_scheduling_algorithm<asio_scheduler>(m_io);
    m_stopped.get_future().get();
}

} // namespace tamarack
