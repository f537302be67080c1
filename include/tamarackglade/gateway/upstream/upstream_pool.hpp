// Pool of idle keep-alive connections to upstreams.
#pragma once

#include <tamarackglade/attribution/connection_history.hpp>
#include <tamarackglade/core/time.hpp>
#include <tamarackglade/http/http_client.hpp>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// @brief A client with what its connection has carried.
struct pooled_client
{
    std::unique_ptr<http_client> client;
    std::optional<duration> idleFor; // nullopt if it is not connected yet
    connection_history history;
    std::optional<std::chrono::seconds> keepAlive; // idle timeout that the upstream announced last
};

/// @brief Idle connections by address. All calls on the io_context's thread.
class upstream_pool
{
public:
    explicit upstream_pool(boost::asio::io_context &io) : m_io(io) { }

    /// @brief Removes the most recently used connection that may carry the request from the pool,
    /// or creates a client that will connect.
    /// @param maxIdleTime connections that were idle longer are closed
    pooled_client acquire(const std::string &address, duration maxIdleTime,
                          const request_id &request);
    /// @brief Called when a reused connection broke. The upstream may close idle connections
    /// earlier than it announces, so this closes all that have been idle for at least as long.
    void onDropped(const std::string &address, duration idleFor);

    /// @brief Returns a connection to the pool after a complete response. Connections with a
    /// response that named no request are closed.
    void release(const std::string &address, pooled_client client);

    /// @brief Closes idle connections that have expired.
    void tick(time_point now);

private:
    /// Invariant: no response on the connection was unnamed.
    struct idle_client
    {
        pooled_client pooled;
        time_point idleSince;
        time_point expiresAt;
    };

    boost::asio::io_context &m_io;
    std::unordered_map<std::string, std::vector<idle_client>> m_idle; // newest last
};

} // namespace tamarack
