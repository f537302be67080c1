// Logs when an upstream is taken out of placement, and when its record says so too.
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/gateway/exchange/leaving_exchange.hpp>
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/runtime/boot_now.hpp>

namespace tamarack {

void leaving_exchange::onResponse(const live_upstream &upstream, const response_metadata &metadata)
{
    if (metadata.leaving)
        applyStatement(upstream.id, upstream.incarnation, "response",
                       metadata.answeredRequest.value_or(request_id()).value());
}

void leaving_exchange::addTo(schema::peer_report_message &report) const
{
    for (const leaving_statement &statement : m_directory.unconfirmedLeaving())
        report.leaving.emplace_back(stableHash(statement.upstream.value()),
                                    statement.incarnation.value());
}

void leaving_exchange::apply(const schema::peer_report_message &report)
{
    for (const schema::leaving_upstream &each : report.leaving) {
        const live_upstream *upstream = m_directory.findByHash(each.upstream());
        if (upstream != nullptr)
            applyStatement(upstream->id, incarnation_number(each.incarnation()), "gateway", "");
    }
}

void leaving_exchange::tick()
{
    for (const leaving_statement &statement : m_directory.takeConfirmedLeaving())
        log_event(log_level::Info, "upstream's record confirms that it leaves")
            .upstream(statement.upstream.value())
            .with("started", statement.incarnation.value())
            .with("stated_ms_ago", toSeconds(bootNow() - statement.at) * 1000);
    m_metrics.set("tamarack_leaving_upstreams",
                  static_cast<double>(m_directory.unconfirmedLeaving().size()));
}

void leaving_exchange::applyStatement(const upstream_id &upstream, incarnation_number incarnation,
                                      const char *source, const std::string &request)
{
    if (!m_directory.onLeaving({upstream, incarnation, bootNow()}))
        return;
    log_event line(log_level::Info, "upstream states that it leaves");
    line.upstream(upstream.value()).with("started", incarnation.value()).with("source", source);
    if (!request.empty())
        line.request(request);
}

} // namespace tamarack
