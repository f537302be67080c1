// An HTTP/1.1 server on one thread: a fiber for each connection.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/http/http_exchange.hpp>
#include <tamarackglade/http/http_server_options.hpp>
#include <tamarackglade/runtime/io_thread.hpp>
#include <tamarackglade/runtime/tcp_listener.hpp>

#include <absl/status/statusor.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace tamarack {

/// @brief Parses requests with Beast, enforces the limits and calls the handler.
/// A handler runs in the connection's fiber; if it returns without an answer, 500 is sent.
class http_server
{
public:
    using handler = std::function<void(http_exchange &exchange)>;

    http_server(io_thread &thread, http_server_options options, handler handle);

    /// @return the bound port, or why it can't listen
    absl::StatusOr<std::uint16_t> listen(const std::string &address);

    /// @brief Stops accepting and closes idle connections; requests of which a byte has been read
    /// are finished, then their connections closed.
    void drain();

    /// @brief Asks callers to close their connections after the next answer; goes on accepting.
    void closeAfterAnswers();

    /// @brief Changes limits for requests that are read from now on. On the server's thread.
    void setCallerLimits(duration headerTimeout, duration idleTimeout, std::size_t headerBytes,
                         std::size_t bodyBytes);

    /// @return requests under way, counted from their first byte
    [[nodiscard]] std::size_t activeRequests() const;

private:
    struct shared_state;

    io_thread &m_thread;
    std::shared_ptr<shared_state> m_state;
    tcp_listener m_listener;
};

} // namespace tamarack
