// The timer runs to the earliest deadline that it was started for, and on to the present one.
#include <tamarackglade/runtime/read_timeout.hpp>

#include <utility>

namespace tamarack {

read_timeout::timer_state::timer_state(boost::asio::ip::tcp::socket &read)
    : socket(&read), timer(read.get_executor())
{
}

read_timeout::read_timeout(boost::asio::ip::tcp::socket &socket)
    : m_state(std::make_shared<timer_state>(socket))
{
}

read_timeout::~read_timeout()
{
    m_state->socket = nullptr;
    m_state->timer.cancel();
}

void read_timeout::arm(std::chrono::milliseconds timeout)
{
    m_state->expired = false;
    if (timeout.count() <= 0)
        return;
    m_state->armed = true;
    m_state->deadline = clock::now() + timeout;
    if (!m_state->running || m_state->deadline < m_state->timer.expiry())
        start(m_state);
}

bool read_timeout::disarm()
{
    return std::exchange(m_state->armed, false) && m_state->expired;
}

void read_timeout::start(const std::shared_ptr<timer_state> &state)
{
    state->running = true;
    state->timer.expires_at(state->deadline);
    state->timer.async_wait([state, number = ++state->starts](boost::system::error_code) {
        if (state->socket != nullptr && state->starts == number)
            onFired(state);
    });
}

void read_timeout::onFired(const std::shared_ptr<timer_state> &state)
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
