// A handler that comes late finds another arming, or none, and does nothing.
#include <tamarackglade/runtime/read_timeout.hpp>

namespace tamarack {

read_timeout::read_timeout(boost::asio::ip::tcp::socket &socket)
    : m_timer(socket.get_executor()), m_state(std::make_shared<timer_state>())
{
    m_state->socket = &socket;
}

read_timeout::~read_timeout()
{
    m_state->socket = nullptr;
}

void read_timeout::arm(std::chrono::milliseconds timeout)
{
    m_state->expired = false;
    if (timeout.count() <= 0)
        return;
    m_state->armed = ++m_armings;
    m_timer.expires_after(timeout);
    m_timer.async_wait([state = m_state, arming = m_armings](boost::system::error_code) {
        if (state->socket == nullptr || state->armed != arming)
            return;
        state->expired = true;
        boost::system::error_code ignored;
        state->socket->cancel(ignored);
    });
}

bool read_timeout::disarm()
{
    if (m_state->armed == 0)
        return false;
    m_state->armed = 0;
    m_timer.cancel();
    return m_state->expired;
}

} // namespace tamarack
