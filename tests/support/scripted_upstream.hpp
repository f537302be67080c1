// An upstream on loopback that sends one scripted response.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <thread>
#include <utility>

namespace tamarack::testing {

enum class ending {
    Close, // resets the connection instead if bytes of the request are unread
    Reset,
    EndSending, // in order; the rest of the request is still read
    Hold // the connection stays open until the peer ends it
};

/// @brief The bytes that follow a request, and how the connection ends.
struct upstream_script
{
    std::string beforePause;
    std::string afterPause;
    ending end = ending::Close;
};

/// @brief Accepts one connection, reads a request's head, sends the script and ends.
class scripted_upstream
{
public:
    explicit scripted_upstream(upstream_script script)
        : m_script(std::move(script)),
          m_acceptor(m_io, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          m_port(m_acceptor.local_endpoint().port()), m_thread([this] { play(); })
    {
    }
    scripted_upstream(const scripted_upstream &) = delete;
    scripted_upstream &operator=(const scripted_upstream &) = delete;
    ~scripted_upstream() { m_thread.join(); }

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    /// @return whether the connection will be closed without waiting for the peer, and isn't yet
    [[nodiscard]] bool isAboutToClose() const
    {
        const bool closes = m_script.end == ending::Close || m_script.end == ending::Reset;
        return closes && !m_closed;
    }

private:
    void play()
    {
        boost::asio::ip::tcp::socket socket(m_io);
        m_acceptor.accept(socket);
        boost::asio::streambuf request;
        boost::system::error_code ignored;
        boost::asio::read_until(socket, request, "\r\n\r\n", ignored);
        boost::asio::write(socket, boost::asio::buffer(m_script.beforePause), ignored);
        if (!m_script.afterPause.empty()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
            boost::asio::write(socket, boost::asio::buffer(m_script.afterPause), ignored);
        }
        if (m_script.end == ending::EndSending)
            socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
        if (m_script.end == ending::EndSending || m_script.end == ending::Hold)
            readToEnd(socket);
        if (m_script.end == ending::Reset)
            socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
        m_closed = true;
    }

    static void readToEnd(boost::asio::ip::tcp::socket &socket)
    {
        std::array<char, 64 * 1024> unused{};
        boost::system::error_code error;
        while (!error)
            socket.read_some(boost::asio::buffer(unused), error);
    }

    upstream_script m_script;
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port;
    std::atomic<bool> m_closed = false;
    std::thread m_thread;
};

} // namespace tamarack::testing
