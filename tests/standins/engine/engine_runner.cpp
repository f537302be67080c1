// The loop between the model's deadlines.
#include "engine_runner.hpp"

#include <tamarackglade/runtime/steady_now.hpp>

#include <mutex>

namespace tamarack::standins {

engine_runner::engine_runner(io_thread &thread, const engine_profile &profile) : m_model(profile)
{
    thread.spawn([this] { loop(); });
}

std::shared_ptr<sequence_progress>
engine_runner::submit(const std::string &prompt, std::uint32_t firstToken, std::uint32_t endToken)
{
    advance();
    auto progress = std::make_shared<sequence_progress>();
    progress->id = m_model.submit(steadyNow(), prompt, firstToken, endToken);
    progress->endOfReady = firstToken;
    m_running.emplace(progress->id, progress);
    m_wake.notify_one();
    return progress;
}

void engine_runner::waitForTokens(sequence_progress &progress, std::uint32_t seen,
                                  std::chrono::milliseconds time)
{
    std::unique_lock lock(m_mutex);
    progress.changed.wait_for(lock, time,
                              [&] { return progress.endOfReady > seen || progress.done; });
}

void engine_runner::cancel(const sequence_progress &progress)
{
    m_model.cancel(progress.id);
    m_running.erase(progress.id);
}

void engine_runner::pauseFor(std::chrono::milliseconds time)
{
    advance();
    m_model.postpone(time);
}

void engine_runner::setHanging(bool hanging)
{
    if (hanging == m_hangingSince.has_value())
        return;
    if (hanging) {
        advance();
        m_hangingSince = steadyNow();
        return;
    }
    m_model.postpone(steadyNow() - *m_hangingSince);
    m_hangingSince.reset();
    m_wake.notify_one();
}

void engine_runner::loop()
{
    for (;;) {
        std::unique_lock lock(m_mutex);
        const auto deadline = m_model.nextDeadline();
        if (!deadline || m_hangingSince) {
            m_wake.wait(lock);
        } else {
            const duration left = *deadline - steadyNow();
            m_wake.wait_for(lock, left);
        }
        lock.unlock();
        advance();
    }
}

void engine_runner::advance()
{
    if (m_hangingSince)
        return;
    for (const token_event &event : m_model.advance(steadyNow())) {
        const auto found = m_running.find(event.sequence);
        if (found == m_running.end())
            continue;
        const auto progress = found->second;
        progress->endOfReady = event.index + 1;
        progress->done = event.last;
        progress->changed.notify_all();
        if (event.last)
            m_running.erase(found);
    }
}

} // namespace tamarack::standins
