// The fiber scheduling algorithm that runs an io_context whenever its thread would be idle.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>

#include <atomic>
#include <chrono>
#include <memory>

namespace tamarack {

/// @brief Round robin over ready fibers; polls the io_context once in each round.
/// The io_context is shared with the algorithm, since the fiber scheduler is torn down with the
/// thread's locals and calls notify after the thread's function has returned.
class asio_scheduler : public boost::fibers::algo::algorithm
{
public:
    explicit asio_scheduler(std::shared_ptr<boost::asio::io_context> io);

    void awakened(boost::fibers::context *context) noexcept override;
    boost::fibers::context *pick_next() noexcept override;
    // Always false, so that the dispatcher polls the io_context in each round.
    bool has_ready_fibers() const noexcept override { return false; }
    void suspend_until(const std::chrono::steady_clock::time_point &when) noexcept override;
    void notify() noexcept override;

private:
    std::shared_ptr<boost::asio::io_context> m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    boost::fibers::scheduler::ready_queue_type m_ready;
    // Whether a notification is posted and not yet run; further ones add nothing to it. Shared
    // with the posted handler, which may outlive the algorithm.
    std::shared_ptr<std::atomic<bool>> m_notified = std::make_shared<std::atomic<bool>>(false);
};

} // namespace tamarack
