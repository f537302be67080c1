// Runs the io_context between rounds of fibers; never from pick_next, where a fiber that waits
// still holds its wait queue's spinlock.
#include <tamarackglade/runtime/asio_scheduler.hpp>

#include <boost/asio/post.hpp>

#include <utility>

namespace tamarack {

asio_scheduler::asio_scheduler(std::shared_ptr<boost::asio::io_context> io)
    : m_io(std::move(io)), m_work(m_io->get_executor())
{
}

void asio_scheduler::awakened(boost::fibers::context *context) noexcept
{
    context->ready_link(m_ready);
}

boost::fibers::context *asio_scheduler::pick_next() noexcept
{
    if (m_ready.empty())
        return nullptr;
    boost::fibers::context *next = &m_ready.front();
    m_ready.pop_front();
    return next;
}

void asio_scheduler::suspend_until(const std::chrono::steady_clock::time_point &when) noexcept
{
    if (m_ready.empty())
        m_io->run_one_until(when);
    m_io->poll();
}

void asio_scheduler::notify() noexcept
{
    // The fiber scheduler looks at the fibers that other threads made ready after each handler.
    if (!m_notified->exchange(true))
        boost::asio::post(*m_io, [notified = m_notified] { notified->store(false); });
}

} // namespace tamarack
