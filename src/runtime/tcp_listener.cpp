// The accept loop.
#include <tamarackglade/runtime/fiber_token.hpp>
#include <tamarackglade/runtime/tcp_listener.hpp>
#include <tamarackglade/runtime/tcp_stream.hpp>

#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <sys/socket.h>

#include <chrono>
#include <utility>

namespace tamarack {

namespace asio = boost::asio;

namespace {

constexpr int ListenBacklog = 4096;
constexpr auto AcceptErrorPause = std::chrono::milliseconds(20);

using reuse_port = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

boost::system::error_code openAcceptor(asio::ip::tcp::acceptor &acceptor,
                                       const asio::ip::tcp::endpoint &endpoint)
{
    boost::system::error_code error;
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.set_option(reuse_port(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(ListenBacklog, error);
    return error;
}

} // namespace

struct tcp_listener::shared_state
{
    explicit shared_state(asio::io_context &io) : acceptor(io) { }
    asio::ip::tcp::acceptor acceptor;
};

tcp_listener::tcp_listener(io_thread &thread, connection_handler handler)
    : m_thread(thread), m_handler(std::move(handler))
{
}

tcp_listener::~tcp_listener()
{
    stopAccepting();
}

absl::StatusOr<std::uint16_t> tcp_listener::listen(const std::string &address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint.ok())
        return endpoint.status();
    m_state = std::make_shared<shared_state>(m_thread.io());
    const auto error = openAcceptor(m_state->acceptor, *endpoint);
    if (error)
        return absl::UnavailableError(absl::StrCat("listen on ", address, ": ", error.message()));
    const std::uint16_t port = m_state->acceptor.local_endpoint().port();
    m_thread.spawn([state = m_state, handler = m_handler] {
        while (state->acceptor.is_open()) {
            auto accepted = state->acceptor.async_accept(FiberToken);
            if (accepted.error == asio::error::operation_aborted)
                return;
            if (accepted.error) {
                boost::this_fiber::sleep_for(AcceptErrorPause);
                continue;
            }
            boost::fibers::fiber([handler, socket = std::move(accepted.value)]() mutable {
                handler(boost::beast::tcp_stream(std::move(socket)));
            }).detach();
        }
    });
    return port;
}

void tcp_listener::stopAccepting()
{
    if (!m_state)
        return;
    asio::post(m_thread.io(), [state = m_state] {
        boost::system::error_code ignored;
        state->acceptor.close(ignored);
    });
}

} // namespace tamarack
