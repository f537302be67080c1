// Limits and hooks of an HTTP server.
#pragma once

#include <tamarackglade/buffers/connection_budget.hpp>
#include <tamarackglade/http/http_request.hpp>
#include <tamarackglade/http/http_response.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace tamarack {

class tls_context;

/// @brief What to do with a request once its header is read.
struct header_verdict
{
    std::size_t bodyLimit; // bytes
    std::optional<http_response> refusal; // answered without reading the body
};

/// @brief Limits in bytes and time; exceeding one gets 400, 408, 413 or 431.
struct http_server_options
{
    std::uint32_t headerLimit = 16 * 1024; // bytes
    std::size_t bodyLimit = 4 * 1024 * 1024; // bytes
    std::chrono::milliseconds headerTimeout{10'000};
    std::chrono::milliseconds bodyTimeout{60'000}; // for the whole body
    std::chrono::milliseconds idleTimeout{75'000}; // between requests
    std::chrono::milliseconds writeTimeout{30'000}; // for each write
    /// Decides on a request by its header; by default bodyLimit holds and nothing is refused.
    std::function<header_verdict(const http_request &)> onHeader;
    /// Builds the body of a refusal made by the server itself.
    std::function<http_response(unsigned status, const std::string &code,
                                const std::string &message)>
        makeError;
    /// Bounds what all connections hold, also those of other servers on the thread; null for no
    /// bound.
    std::shared_ptr<connection_budget> budget;
    /// TLS for the listener, or null for plain TCP.
    tls_context *tls = nullptr;
};

} // namespace tamarack
