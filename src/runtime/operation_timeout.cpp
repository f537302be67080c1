// The timer runs to the earliest deadline that it was started for, and on to the present one.
#include <tamarackglade/runtime/operation_timeout.hpp>

#include <utility>

namespace tamarack {

operation_timeout::timer_state::timer_state(boost::asio::ip::tcp::socket &timed)
    : socket(&timed), timer(timed.get_executor())
{
}

operation_timeout::operation_timeout(boost::asio::ip::tcp::socket &socket)
    : m_state(std::make_shared<timer_state>(socket))
{
}

operation_timeout::~operation_timeout()
{
    m_state->socket = nullptr;
    m_state->timer.cancel();
}

void operation_timeout::arm(std::chrono::milliseconds timeout)
{
    m_state->expired = false;
    if (timeout.count() <= 0)
        return;
    m_state->armed = true;
    m_state->deadline = clock::now() + timeout;
    if (!m_state->running || m_state->deadline < m_state->timer.expiry())
        start(m_state);
}

bool operation_timeout::disarm()
{
    return std::exchange(m_state->armed, false) && m_state->expired;
}

void operation_timeout::start(const std::shared_ptr<timer_state> &state)
{
    state->running = true;
    state->timer.expires_at(state->deadline);
    state->timer.async_wait([state, number = ++state->starts](boost::system::error_code) {
        if (state->socket != nullptr && state->starts == number)
            onFired(state);
    });
}

void operation_timeout::onFired(const std::shared_ptr<timer_state> &state)
{
    state->running = false;
    if (!state->armed)
        return;
    if (clock::now() < state->deadline) {
        start(state);
        return;
    }
    state->expired = true;
    boost::system::error_code ignored;
    state->socket->cancel(ignored);
}

} // namespace tamarack
