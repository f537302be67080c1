// A blocking TCP client that sends exact bytes, for tests of servers on another thread.
#pragma once

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <sys/socket.h>

#include <string>
#include <string_view>

namespace tamarack::testing {

/// @brief One connection to a loopback port. Reads give up after ReadTimeoutSeconds.
class raw_client
{
public:
    explicit raw_client(std::uint16_t port) : m_socket(m_io)
    {
        constexpr int ReadTimeoutSeconds = 20;
        m_socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
        const timeval timeout{ReadTimeoutSeconds, 0};
        ::setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    }

    /// @return false if the peer has closed the connection
    bool send(std::string_view bytes)
    {
        return ::send(m_socket.native_handle(), bytes.data(), bytes.size(), MSG_NOSIGNAL)
               == static_cast<ssize_t>(bytes.size());
    }

    /// @return all bytes until they contain the text, or until the end of the connection
    std::string readUntil(std::string_view text)
    {
        std::string received;
        while (received.find(text) == std::string::npos && readMore(received)) { }
        return received;
    }

    /// @return all bytes up to the end of the connection
    std::string readAll()
    {
        std::string received;
        while (readMore(received)) { }
        return received;
    }

    boost::asio::ip::tcp::socket &socket() { return m_socket; }

private:
    bool readMore(std::string &received)
    {
        char bytes[4096];
        const ssize_t size = ::recv(m_socket.native_handle(), bytes, sizeof bytes, 0);
        if (size <= 0)
            return false;
        received.append(bytes, static_cast<std::size_t>(size));
        return true;
    }

    boost::asio::io_context m_io;
    boost::asio::ip::tcp::socket m_socket;
};

} // namespace tamarack::testing
