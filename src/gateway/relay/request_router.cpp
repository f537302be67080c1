// Checks route, key and rate of requests against the configuration in force.
#include <tamarackglade/gateway/relay/call_relay.hpp>
#include <tamarackglade/gateway/relay/gateway_refusal.hpp>
#include <tamarackglade/gateway/relay/request_router.hpp>
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/runtime/boot_now.hpp>

#include <algorithm>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds UnavailableRetryAfter{500};
constexpr std::chrono::milliseconds MinRateRetryAfter{100};
constexpr std::chrono::seconds MaxRefreshTime{3}; // of the configuration, for one request
// Time between the check of a key and the forwarding of its request.
constexpr std::chrono::milliseconds KeyCheckMargin{300};

} // namespace

void request_router::handle(http_exchange &exchange)
{
    const time_point arrivedAt = bootNow();
    forward_call call = m_context.protocol.decodeCall(exchange.request());
    const auto batchCall = m_context.protocol.decodeBatchCall(exchange.request());
    const admission admitted =
        admit(call, batchCall ? purpose::BatchCall : purpose::Route, arrivedAt);
    if (admitted.refused) {
        logRefusal(call, admitted);
        exchange.respond(*admitted.refused);
        return;
    }
    const std::optional<customer_id> customer =
        admitted.customer != nullptr ? std::optional(admitted.customer->id) : std::nullopt;
    if (batchCall) {
        m_batches.answer(exchange, *batchCall, customer.value_or(customer_id()), arrivedAt);
        return;
    }
    if (admitted.route->kind == route_kind::Batch) {
        m_batches.submit(exchange, call, *admitted.route, customer.value_or(customer_id()),
                         arrivedAt);
        return;
    }
    if (const auto wait = rateLimitWait(admitted, arrivedAt)) {
        admission refused = admitted;
        refused.reason = "over_rate";
        logRefusal(call, refused);
        exchange.respond(refusal(429, "over_rate", std::max<duration>(*wait, MinRateRetryAfter)));
        return;
    }
    const bool customerHasPriority = admitted.customer != nullptr && admitted.customer->hasPriority;
    const int priority =
        customerHasPriority ? admitted.customer->priority : admitted.route->priority;
    call_relay relay(m_context, exchange, std::move(call), *admitted.route, customer, priority,
                     arrivedAt);
    relay.serve();
}

request_router::admission request_router::admit(const forward_call &call, purpose callPurpose,
                                                time_point arrivedAt)
{
    admission result = checkRouteAndKey(call, callPurpose);
    // An unknown route or key may be in a configuration that was just published, so read again.
    const bool notFound = result.refused && result.refused->status != 503;
    if (notFound) {
        const duration limit =
            std::min<duration>(call.timeLeft.value_or(MaxRefreshTime), MaxRefreshTime);
        if (m_context.config.refresh(arrivedAt, limit)) {
            result = checkRouteAndKey(call, callPurpose);
        } else {
            result.refused = refusal(503, "configuration_unknown", UnavailableRetryAfter);
            result.reason = "configuration_unknown";
        }
    }
    return result;
}

request_router::admission request_router::checkRouteAndKey(const forward_call &call,
                                                           purpose callPurpose) const
{
    admission result;
    const active_config &activeConfig = m_context.config.activeConfig();
    result.config = activeConfig.current();
    if (!result.config) {
        result.refused = refusal(503, "no_configuration", UnavailableRetryAfter);
        result.reason = "no_configuration";
        return result;
    }
    if (callPurpose == purpose::Route)
        result.route = result.config->findRoute(call.hostName, call.path);
    if (callPurpose == purpose::Route && result.route == nullptr) {
        result.refused = refusal(404, "no_route");
        result.reason = "no_route";
        return result;
    }
    // Calls about a job need its customer's key, so a job without a customer could not be read.
    const bool open =
        result.route != nullptr && result.route->open && result.route->kind != route_kind::Batch;
    if (open || !result.config->needsKeys())
        return result;
    const time_point now = bootNow();
    if (!activeConfig.freshWithin(m_context.options.keyFreshness - KeyCheckMargin, now)) {
        result.refused = refusal(503, "keys_not_checked", UnavailableRetryAfter);
        result.reason = "keys_not_checked";
        return result;
    }
    result.customer = call.key ? result.config->findByKey(*call.key) : nullptr;
    if (result.customer != nullptr)
        return result;
    // The key may be in a part of the list that can't be read, so it isn't known to be wrong.
    if (call.key && !result.config->customerFaults().empty()) {
        result.refused = refusal(503, "keys_not_readable", UnavailableRetryAfter);
        result.reason = "keys_not_readable";
    } else {
        result.refused = refusal(401, "unknown_key");
        result.reason = "unknown_key";
    }
    return result;
}

std::optional<duration> request_router::rateLimitWait(const admission &admitted, time_point now)
{
    if (admitted.customer == nullptr)
        return std::nullopt;
    return m_context.rates.admit(admitted.customer->id, now);
}

void request_router::logRefusal(const forward_call &call, const admission &admitted)
{
    const active_config &activeConfig = m_context.config.activeConfig();
    const time_point now = bootNow();
    log_event line(log_level::Info, "request refused");
    line.request(call.id.value()).with("reason", admitted.reason);
    if (admitted.route != nullptr)
        line.with("route", admitted.route->name);
    if (admitted.customer != nullptr)
        line.customer(admitted.customer->id.value());
    if (activeConfig.current())
        line.with("config", activeConfig.current()->version().value())
            .with("config_age_ms",
                  toSeconds(now - activeConfig.confirmedAt().value_or(now)) * 1000);
    line.with("rate_share", m_context.peerTable.share(now));
    m_context.metrics.add("tamarack_refusals_total{reason=\"" + std::string(admitted.reason)
                          + "\"}");
}

} // namespace tamarack
