// Kept connections to upstreams.
#pragma once

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

/// @brief A client, and how long its connection was idle; nullopt if it has none yet.
struct pooled_client
{
    std::unique_ptr<http_client> client;
    std::optional<duration> idleFor;
};

/// @brief Idle connections by address. All calls on the io_context's thread.
class upstream_pool
{
public:
    explicit upstream_pool(boost::asio::io_context &io) : m_io(io) { }

    /// @brief Takes the connection that was used last, or makes a client that will connect.
    /// @param maxIdleTime an older connection isn't taken
    pooled_client acquire(const std::string &address, duration maxIdleTime);
    /// @brief Tells that a connection broke when it was used again. The upstream may drop those
    /// that are idle sooner than it says, so those that were idle as long are closed.
    void onDropped(const std::string &address, duration idleFor);

    /// @brief Keeps a connection after a whole response.
    /// @param keepAlive how long the upstream keeps it, if it said so
    void release(const std::string &address, std::unique_ptr<http_client> client,
                 std::optional<std::chrono::seconds> keepAlive);

    /// @brief Closes connections that have been idle for too long.
    void tick(time_point now);

private:
    struct idle_client
    {
        std::unique_ptr<http_client> client;
        time_point idleSince;
        time_point expiresAt;
    };

    boost::asio::io_context &m_io;
    std::unordered_map<std::string, std::vector<idle_client>> m_idle; // newest last
};

} // namespace tamarack
