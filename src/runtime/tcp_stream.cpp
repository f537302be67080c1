// TCP operations through the fiber token.
#include <tamarackglade/runtime/fiber_token.hpp>
#include <tamarackglade/runtime/tcp_stream.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/beast/core/error.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace tamarack {

namespace asio = boost::asio;

namespace {

// Then one goes through the io_context, which runs what else is ready on the thread.
constexpr unsigned ImmediateLimit = 16;

// A peer that acknowledges nothing for so long is gone, also if it sends no reset.
constexpr int UserTimeoutMs = 5'000;

using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

} // namespace

absl::StatusOr<asio::ip::tcp::endpoint> parseEndpoint(const std::string &address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        return absl::InvalidArgumentError(absl::StrCat("'", address, "' is not ip:port"));
    boost::system::error_code error;
    std::string host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    const auto ip = asio::ip::make_address(host, error);
    std::uint32_t port = 0;
    if (error || !absl::SimpleAtoi(address.substr(colon + 1), &port) || port > 65535)
        return absl::InvalidArgumentError(absl::StrCat("'", address, "' is not ip:port"));
    return asio::ip::tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

tcp_stream::~tcp_stream()
{
    unwatchPeer();
}

tcp_stream::tcp_stream(boost::beast::tcp_stream stream)
    : m_stream(std::move(stream)), m_readTimeout(m_stream.socket()),
      m_writeTimeout(m_stream.socket())
{
    boost::system::error_code ignored;
    m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    m_stream.socket().set_option(user_timeout(UserTimeoutMs), ignored);
}

absl::StatusOr<std::unique_ptr<tcp_stream>> tcp_stream::connect(asio::io_context &io,
                                                                const std::string &address,
                                                                std::chrono::milliseconds timeout)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint.ok())
        return endpoint.status();
    boost::beast::tcp_stream stream(io);
    stream.expires_after(timeout);
    const boost::system::error_code error = stream.async_connect(*endpoint, FiberToken);
    stream.expires_never();
    if (error)
        return absl::UnavailableError(absl::StrCat("connect to ", address, ": ", error.message()));
    return std::make_unique<tcp_stream>(std::move(stream));
}

std::size_t tcp_stream::readSome(asio::mutable_buffer buffer, boost::system::error_code &error)
{
    error = {};
    if (const std::size_t size = readNow(buffer))
        return size;
    m_readTimeout.arm(m_timeout);
    const auto result = m_stream.socket().async_read_some(buffer, FiberToken);
    if (m_readTimeout.disarm() && result.error)
        error = boost::beast::error::timeout;
    else
        error = endOfRead(result.error);
    return result.value;
}

std::size_t tcp_stream::writeSome(asio::const_buffer buffer, boost::system::error_code &error)
{
    error = {};
    if (const std::size_t size = writeNow(buffer))
        return size;
    m_writeTimeout.arm(m_timeout);
    const auto result = m_stream.socket().async_write_some(buffer, FiberToken);
    if (m_writeTimeout.disarm() && result.error) {
        error = boost::beast::error::timeout;
        return result.value;
    }
    error = result.error;
    keepFailure(error);
    return result.value;
}

void tcp_stream::setTimeout(std::chrono::milliseconds timeout)
{
    m_timeout = timeout;
}

void tcp_stream::close()
{
    m_stream.close();
}

void tcp_stream::setResetOnClose(bool reset)
{
    boost::system::error_code ignored;
    m_stream.socket().set_option(asio::socket_base::linger(reset, 0), ignored);
}

void tcp_stream::shutdownSend()
{
    boost::system::error_code ignored;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

bool tcp_stream::peerClosed()
{
    char byte = 0;
    const auto size = receiveNow(asio::buffer(&byte, 1), MSG_PEEK);
    return size == 0 || (size < 0 && m_failure);
}

bool tcp_stream::inputWaiting()
{
    char byte = 0;
    return receiveNow(asio::buffer(&byte, 1), MSG_PEEK) > 0;
}

void tcp_stream::waitForInput(boost::system::error_code &error)
{
    m_readTimeout.arm(m_timeout);
    error = m_stream.socket().async_wait(asio::ip::tcp::socket::wait_read, FiberToken);
    if (m_readTimeout.disarm() && error)
        error = boost::beast::error::timeout;
}

void tcp_stream::watchPeer(const std::function<void()> &onClosed)
{
    m_watch = std::make_shared<peer_watch>(peer_watch{onClosed});
    m_stream.socket().async_wait(asio::ip::tcp::socket::wait_read,
                                 [this, watch = m_watch](const boost::system::error_code &error) {
                                     if (error || !watch->onClosed || !peerClosed())
                                         return;
                                     std::exchange(watch->onClosed, nullptr)();
                                 });
}

void tcp_stream::unwatchPeer()
{
    if (m_watch)
        m_watch->onClosed = nullptr;
    m_watch.reset();
}

std::string tcp_stream::peerAddress() const
{
    boost::system::error_code error;
    const auto endpoint = m_stream.socket().remote_endpoint(error);
    if (error)
        return "unknown";
    return absl::StrCat(endpoint.address().to_string(), ":", endpoint.port());
}

std::size_t tcp_stream::readNow(asio::mutable_buffer buffer)
{
    if (!mayBeImmediate())
        return 0;
    const auto size = receiveNow(buffer, 0);
    return size > 0 ? static_cast<std::size_t>(size) : 0;
}

// The system reports a reset once; after that it reports the end of the stream.
ssize_t tcp_stream::receiveNow(asio::mutable_buffer buffer, int flags)
{
    const auto size = ::recv(m_stream.socket().native_handle(), buffer.data(), buffer.size(),
                             flags | MSG_DONTWAIT);
    if (size < 0)
        keepFailure({errno, boost::system::system_category()});
    return size;
}

boost::system::error_code tcp_stream::endOfRead(const boost::system::error_code &error)
{
    if (error == asio::error::eof)
        return m_failure ? m_failure : error;
    keepFailure(error);
    return error;
}

void tcp_stream::keepFailure(const boost::system::error_code &error)
{
    const bool canGoOn = !error || error == asio::error::would_block
                         || error == asio::error::try_again || error == asio::error::interrupted
                         || error == asio::error::operation_aborted;
    if (!canGoOn && !m_failure)
        m_failure = error;
}

std::size_t tcp_stream::writeNow(asio::const_buffer buffer)
{
    if (!mayBeImmediate())
        return 0;
    const auto size = ::send(m_stream.socket().native_handle(), buffer.data(), buffer.size(),
                             MSG_DONTWAIT | MSG_NOSIGNAL);
    if (size < 0)
        keepFailure({errno, boost::system::system_category()});
    return size > 0 ? static_cast<std::size_t>(size) : 0;
}

bool tcp_stream::mayBeImmediate()
{
    if (++m_immediate <= ImmediateLimit)
        return true;
    m_immediate = 0;
    return false;
}

} // namespace tamarack
