// Upstreams that state in their responses that they leave: for placement here and at other
// gateways.
#pragma once

#include <tamarackglade/gateway/upstream/response_listener.hpp>
#include <tamarackglade/metrics/metric_registry.hpp>
#include <tamarackglade/placement/upstream_directory.hpp>
#include <tamarackglade/schema/peer_generated.h>

namespace tamarack {

/// @brief Applies and reports statements of upstreams that they leave, and logs them. All calls on
/// the gateway's thread.
class leaving_exchange final : public response_listener
{
public:
    leaving_exchange(upstream_directory &directory, metric_registry &metrics)
        : m_directory(directory), m_metrics(metrics)
    {
    }

    void onResponse(const live_upstream &upstream, const response_metadata &metadata) override;
    /// @brief Adds the statements that the store's records don't confirm yet.
    void addTo(schema::peer_report_message &report) const;
    /// @brief Applies a peer's report.
    void apply(const schema::peer_report_message &report);
    /// @brief Logs confirmed statements; call several times a second.
    void tick();

private:
    void applyStatement(const upstream_id &upstream, incarnation_number incarnation,
                        const char *source, const std::string &request);

    upstream_directory &m_directory;
    metric_registry &m_metrics;
};

} // namespace tamarack
