// Begins and ends evacuations, and reports records that have no effect.
#include <tamarackglade/gateway/process/operator_requests.hpp>
#include <tamarackglade/logging/log_event.hpp>

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

constexpr std::size_t MaxUnknownKeys = 100; // that are counted and logged

} // namespace

operator_requests::operator_requests(const platform_protocol &protocol,
                                     upstream_directory &directory, metric_registry &metrics,
                                     std::function<void()> onChange)
    : m_protocol(protocol), m_directory(directory), m_metrics(metrics),
      m_onChange(std::move(onChange))
{
}

void operator_requests::onSnapshot(const std::vector<keyed_record> &records)
{
    std::set<zone_id> missing = m_directory.evacuations().zones();
    for (const keyed_record &record : records) {
        const auto zone = m_protocol.evacuatedZone(record.key);
        if (zone && !record.value.empty())
            missing.erase(*zone);
        onRecord(record);
    }
    for (const zone_id &zone : missing)
        end(zone);
}

void operator_requests::onRecord(const keyed_record &record)
{
    const auto zone = m_protocol.evacuatedZone(record.key);
    if (zone && record.value.empty())
        end(*zone);
    else if (zone)
        begin(*zone);
    else if (record.key != m_protocol.configKey())
        onUnknown(record);
}

void operator_requests::begin(const zone_id &zone)
{
    if (m_directory.evacuations().contains(zone))
        return;
    if (!m_directory.evacuations().add(zone)) {
        log_event(log_level::Error, "evacuation ignored")
            .with("zone", zone.value())
            .with("reason", "too many zones are evacuated");
        return;
    }
    const auto &upstreams = m_directory.upstreams();
    const auto count = std::count_if(upstreams.begin(), upstreams.end(),
                                     [&](const auto &entry) { return entry.second.zone == zone; });
    log_event(count > 0 ? log_level::Info : log_level::Warning, "evacuation of a zone begins")
        .with("zone", zone.value())
        .with("upstreams", count);
    updateMetrics();
    m_onChange();
}

void operator_requests::end(const zone_id &zone)
{
    if (!m_directory.evacuations().remove(zone))
        return;
    log_event(log_level::Info, "evacuation of a zone ends").with("zone", zone.value());
    updateMetrics();
    m_onChange();
}

void operator_requests::onUnknown(const keyed_record &record)
{
    if (record.value.empty())
        m_unknownKeys.erase(record.key);
    else if (m_unknownKeys.size() < MaxUnknownKeys && m_unknownKeys.insert(record.key).second)
        log_event(log_level::Error, "operators' record has no effect")
            .with("key", record.key)
            .with("reason", "not understood by this version");
    updateMetrics();
}

void operator_requests::updateMetrics()
{
    m_metrics.set("tamarack_evacuated_zones",
                  static_cast<double>(m_directory.evacuations().zones().size()));
    m_metrics.set("tamarack_unknown_operator_records", static_cast<double>(m_unknownKeys.size()));
}

} // namespace tamarack
