// Encodes ages instead of times, since the clocks of gateways differ.
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/gateway/exchange/rate_exchange.hpp>
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/runtime/boot_now.hpp>

#include <algorithm>

namespace tamarack {

namespace {

constexpr double NoRate = -1; // of a statement that ended a limit

std::uint32_t millisSince(time_point at, time_point now)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, UINT32_MAX));
}

} // namespace

void rate_exchange::onResponse(const live_upstream &upstream, const response_metadata &metadata)
{
    if (!metadata.acceptedRate && metadata.hasUnreadableRate)
        return;
    const time_point now = bootNow();
    applyStatement({upstream.id, upstream.incarnation, metadata.acceptedRate, now}, "response",
                   now);
}

void rate_exchange::addTo(schema::peer_report_message &report, time_point now)
{
    m_customerSchedule.nextRound();
    m_upstreamSchedule.nextRound();
    for (const admitted_count<customer_id> &count : m_customers.ownCounts()) {
        const std::uint64_t hash = stableHash(count.id.value());
        if (m_customerSchedule.isDue(count.id, hash, count.admitted, now))
            report.customers.emplace_back(hash, static_cast<std::uint32_t>(count.admitted),
                                          static_cast<float>(count.level));
    }
    for (const rate_statement &statement : m_upstreams.statements()) {
        const auto sent = m_upstreams.sentTo(statement.upstream);
        const std::uint64_t hash = stableHash(statement.upstream.value());
        // A new rate makes the entry due as well.
        const auto rateBits = static_cast<std::uint64_t>(statement.rate.value_or(0) * 1000);
        if (m_upstreamSchedule.isDue(statement.upstream, hash, sent.admitted ^ (rateBits << 32),
                                     now))
            report.upstream_rates.emplace_back(
                hash, statement.incarnation.value(), statement.rate.value_or(NoRate),
                millisSince(statement.at, now), static_cast<std::uint32_t>(sent.admitted),
                static_cast<float>(sent.level));
    }
}

// Skips customers that are not in this gateway's configuration.
void rate_exchange::applyCustomers(const vm_id &peer, incarnation_number incarnation,
                                   const std::vector<schema::customer_count> &counts,
                                   bool wasReachable, time_point now)
{
    std::vector<admitted_count<customer_id>> known;
    const auto config = m_config.activeConfig().current();
    for (const schema::customer_count &count : counts) {
        const forward_customer *customer = config ? config->findByHash(count.customer()) : nullptr;
        if (customer != nullptr)
            known.push_back({customer->id, count.admitted(), count.level()});
    }
    m_customers.onPeerCounts(peer, incarnation, known, wasReachable, now);
}

// Skips upstreams that this gateway doesn't know yet, or knows in another incarnation.
void rate_exchange::applyUpstreams(const schema::peer_report_message &report, bool wasReachable,
                                   time_point now)
{
    std::vector<admitted_count<upstream_id>> counts;
    for (const schema::upstream_rate &each : report.upstream_rates) {
        const live_upstream *upstream = m_directory.findByHash(each.upstream());
        if (upstream == nullptr || upstream->incarnation.value() != each.incarnation())
            continue;
        const std::optional<double> rate =
            each.per_second() < 0 ? std::nullopt : std::optional<double>(each.per_second());
        const time_point at = now - std::chrono::milliseconds(each.age_ms());
        applyStatement({upstream->id, upstream->incarnation, rate, at}, "gateway", now);
        counts.push_back({upstream->id, each.sent(), each.level()});
    }
    m_upstreams.onPeerCounts(vm_id(report.vm), incarnation_number(report.incarnation), counts,
                             wasReachable, now);
}

void rate_exchange::applyStatement(const rate_statement &statement, const char *source,
                                   time_point now)
{
    if (!m_upstreams.onStatement(statement, now))
        return;
    log_event line(log_level::Info,
                   statement.rate ? "upstream limits its rate" : "upstream's rate limit ended");
    line.upstream(statement.upstream.value()).with("source", source);
    if (statement.rate)
        line.with("requests_per_second", *statement.rate);
    m_metrics.set("tamarack_limited_upstreams", static_cast<double>(m_upstreams.limited()));
}

void rate_exchange::tick()
{
    const time_point now = bootNow();
    m_upstreams.tick(m_directory, now);
    m_metrics.set("tamarack_warming_upstreams", static_cast<double>(m_upstreams.warmingUp(now)));
    m_metrics.set("tamarack_limited_upstreams", static_cast<double>(m_upstreams.limited()));
}

} // namespace tamarack
