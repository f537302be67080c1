// A thread whose main fiber waits for the order to stop while others do the work.
#include <tamarackglade/runtime/asio_scheduler.hpp>
#include <tamarackglade/runtime/io_thread.hpp>

#include <boost/asio/post.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

#include <utility>

namespace tamarack {

namespace {

void installAsioScheduler(const std::shared_ptr<boost::asio::io_context> &io)
{
    boost::fibers::use_scheduling_algorithm<asio_scheduler>(io);
}

} // namespace

io_thread::io_thread() : io_thread(&installAsioScheduler) { }

io_thread::io_thread(scheduler_installer installScheduler)
    : m_installScheduler(std::move(installScheduler)),
      m_io(std::make_shared<boost::asio::io_context>(1)), m_thread([this] { threadMain(); })
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
    // On the thread itself: a wake from here would go on using the thread's scheduler after it.
    boost::asio::post(*m_io, [this] { m_stopped.set_value(); });
    m_thread.join();
}

void io_thread::threadMain()
{
    m_installScheduler(m_io);
    m_stopped.get_future().get();
}

} // namespace tamarack
