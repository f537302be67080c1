// Decodes the configuration's records and puts the highest version in force.
#include <tamarackglade/gateway/process/config_watch.hpp>
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/runtime/boot_now.hpp>

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

// Reads per key freshness interval, so that one late response doesn't make the confirmation too
// old.
constexpr int ReadsPerFreshness = 4;
// Short, as requests with keys are refused until the store answers again.
constexpr std::chrono::milliseconds RetryPause{250};

// Logs a limited number, as a configuration may have thousands.
void logCustomerFaults(const forward_config &config)
{
    constexpr std::size_t MaxLoggedFaults = 20;
    const std::vector<std::string> &faults = config.customerFaults();
    for (std::size_t i = 0; i < std::min(faults.size(), MaxLoggedFaults); ++i)
        log_event(log_level::Error, "customers not all readable")
            .with("version", config.version().value())
            .with("reason", faults[i]);
}

std::chrono::milliseconds pollWait(duration keyFreshness)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(keyFreshness / ReadsPerFreshness);
}

} // namespace

config_watch::config_watch(record_store &store, const platform_protocol &protocol,
                           duration keyFreshness, operator_requests &requests,
                           change_listener onChange)
    : m_store(store), m_protocol(protocol), m_requests(requests), m_onChange(std::move(onChange)),
      m_follower(store, protocol.configStream(),
                 {true, pollWait(keyFreshness), std::chrono::milliseconds(0), RetryPause}, *this)
{
}

bool config_watch::refresh(time_point since, duration limit)
{
    return m_follower.catchUp(since, limit) && !m_activeConfig.newestIsUnreadable();
}

void config_watch::onSnapshot(const std::vector<keyed_record> &records, time_point sentAt)
{
    m_requests.onSnapshot(records);
    const bool hasConfig =
        std::any_of(records.begin(), records.end(), [this](const keyed_record &record) {
            return record.key == m_protocol.configKey();
        });
    if (!hasConfig)
        onRemoved();
    for (const keyed_record &record : records)
        applyRecord(record, sentAt);
}

void config_watch::onRecord(const std::string &record, time_point sentAt)
{
    const auto keyed = m_store.decodeKeyed(record);
    if (!keyed) {
        log_event(log_level::Warning, "malformed record in the configuration's stream")
            .with("bytes", record.size());
        return;
    }
    m_requests.onRecord(*keyed);
    applyRecord(*keyed, sentAt);
}

void config_watch::onRemoved()
{
    if (!m_activeConfig.current() || m_activeConfig.newestIsUnreadable())
        return;
    log_event(log_level::Error, "configuration removed")
        .with("version", m_activeConfig.current()->version().value());
    m_activeConfig.onUnreadable();
}

void config_watch::applyRecord(const keyed_record &record, time_point sentAt)
{
    if (record.key != m_protocol.configKey())
        return;
    if (record.value.empty()) {
        onRemoved();
        return;
    }
    const time_point begunAt = bootNow();
    auto config = m_protocol.decodeConfig(record.value);
    if (!config.ok()) {
        log_event(log_level::Error, "configuration refused")
            .with("reason", std::string(config.status().message()));
        m_activeConfig.onUnreadable();
        return;
    }
    const auto version = (*config)->version();
    if (!m_activeConfig.accept(*config))
        return;
    logCustomerFaults(**config);
    m_onChange(**config);
    m_changedAt = bootNow();
    log_event(log_level::Info, "configuration in force")
        .with("version", version.value())
        .with("routes", (*config)->routeCount())
        .with("needs_keys", (*config)->needsKeys())
        .with("customers", (*config)->customerCount())
        .with("read_ms", toSeconds(m_changedAt - sentAt) * 1000)
        .with("apply_ms", toSeconds(m_changedAt - begunAt) * 1000);
}

} // namespace tamarack
