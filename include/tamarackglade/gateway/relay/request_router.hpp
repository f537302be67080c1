// Checks route, key and rate of a request, then passes it to the handler that serves it.
#pragma once

#include <tamarackglade/gateway/batch/batch_api.hpp>
#include <tamarackglade/gateway/process/gateway_context.hpp>
#include <tamarackglade/http/http_exchange.hpp>

namespace tamarack {

/// @brief Entry point of callers' requests.
class request_router
{
public:
    request_router(gateway_context &context, batch_api &batches)
        : m_context(context), m_batches(batches)
    {
    }

    /// @brief Answers one request.
    void handle(http_exchange &exchange);

private:
    // Whether a request needs a route, or is about an existing batch job and needs only a valid
    // key.
    enum class purpose { Route, BatchCall };

    struct admission
    {
        std::shared_ptr<const forward_config> config; // keeps route and customer alive
        const forward_route *route = nullptr;
        const forward_customer *customer = nullptr; // null if no key is needed
        std::optional<http_response> refused;
        const char *reason = ""; // why it was refused
    };

    admission admit(const forward_call &call, purpose callPurpose, time_point arrivedAt);
    [[nodiscard]] admission checkRouteAndKey(const forward_call &call, purpose callPurpose) const;
    [[nodiscard]] std::optional<duration> rateLimitWait(const admission &admitted, time_point now);
    void logRefusal(const forward_call &call, const admission &admitted);

    gateway_context &m_context;
    batch_api &m_batches;
};

} // namespace tamarack
