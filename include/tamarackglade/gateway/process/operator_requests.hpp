// What operators ask for beside the configuration: evacuations of availability zones.
#pragma once

#include <tamarackglade/gateway/process/platform_protocol.hpp>
#include <tamarackglade/metrics/metric_registry.hpp>
#include <tamarackglade/placement/upstream_directory.hpp>
#include <tamarackglade/store/record_store.hpp>

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace tamarack {

/// @brief Applies the operators' records that aren't the configuration.
///
/// The records last in the store, beside the configuration: a gateway that starts, or was cut off
/// from the store, reads them before it serves keyed requests. A record that this version doesn't
/// understand is logged and counted, as operators may expect an effect of it.
class operator_requests
{
public:
    /// @param onChange called after an evacuation has begun or ended
    operator_requests(const platform_protocol &protocol, upstream_directory &directory,
                      metric_registry &metrics, std::function<void()> onChange);

    /// @brief Applies all records that exist; evacuations without one end.
    void onSnapshot(const std::vector<keyed_record> &records);
    /// @brief Applies a record that was written, or removed if its value is empty.
    void onRecord(const keyed_record &record);

private:
    void begin(const zone_id &zone);
    void end(const zone_id &zone);
    void onUnknown(const keyed_record &record);
    void updateMetrics();

    const platform_protocol &m_protocol;
    upstream_directory &m_directory;
    metric_registry &m_metrics;
    const std::function<void()> m_onChange;
    std::set<std::string> m_unknownKeys; // of records that exist; at most MaxUnknownKeys
};

} // namespace tamarack
