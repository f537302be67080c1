// Accepts TCP connections on one thread and runs a fiber for each.
#pragma once

#include <tamarackglade/runtime/byte_stream.hpp>
#include <tamarackglade/runtime/io_thread.hpp>

#include <absl/status/statusor.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace tamarack {

/// @brief A listening socket. Several listeners may share an address, one on each thread.
class tcp_listener
{
public:
    /// Serves one connection; runs in a fiber of its own and owns the stream.
    using connection_handler = std::function<void(boost::beast::tcp_stream stream)>;

    tcp_listener(io_thread &thread, connection_handler handler);
    ~tcp_listener();

    /// @brief Binds "ip:port" (port 0: any) and starts to accept.
    /// @return the bound port, or InvalidArgument / Unavailable
    absl::StatusOr<std::uint16_t> listen(const std::string &address);

    /// @brief Closes the listening socket; connections go on. Callable from any thread.
    void stopAccepting();

private:
    struct shared_state;

    io_thread &m_thread;
    connection_handler m_handler;
    std::shared_ptr<shared_state> m_state;
};

} // namespace tamarack
