// One HTTP call to the upstream.
#pragma once

#include <tamarackglade/http/http_client.hpp>
#include <tamarackglade/runtime/io_thread.hpp>
#include <tamarackglade/side/upstream_events.hpp>

#include <chrono>
#include <memory>
#include <string>

namespace tamarack {

/// @brief The request of an upstream call. Headers of the caller are never copied into it.
struct upstream_request
{
    std::string method;
    std::string target;
    std::string contentType;
    std::string body;
    std::string requestId;
    std::chrono::milliseconds timeout{0}; // of connecting and of each read or write
};

/// @brief Runs one call on a connection of its own, so that a failure to connect proves that the
/// upstream never received the call. Used on one thread.
class upstream_call : public std::enable_shared_from_this<upstream_call>
{
public:
    /// @param address "ip:port" of the upstream
    upstream_call(io_thread &thread, const std::string &address, upstream_request request,
                  std::shared_ptr<upstream_events> events);

    /// @brief Starts the call in a fiber of its own.
    void start();
    /// @brief Closes the connection; onEnd follows with upstream_end::Aborted.
    void abort();

private:
    void run();
    void reportFailure(const absl::Status &failure, bool sent);

    io_thread &m_thread;
    http_client m_client;
    upstream_request m_request;
    std::shared_ptr<upstream_events> m_events;
    bool m_aborted = false;
};

} // namespace tamarack
