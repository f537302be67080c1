// Follows the operators' stream in the store and keeps the version in force.
#pragma once

#include <tamarackglade/forward/active_config.hpp>
#include <tamarackglade/gateway/batch/stream_follower.hpp>
#include <tamarackglade/gateway/process/operator_requests.hpp>
#include <tamarackglade/gateway/process/platform_protocol.hpp>

#include <functional>

namespace tamarack {

/// @brief Follows the stream in which operators publish the configuration and their other requests.
/// A configuration that can't be read, or was removed from the store, is logged; the one before it
/// stays active, but isn't confirmed any more.
class config_watch final : private stream_listener
{
public:
    using change_listener = std::function<void(const forward_config &config)>;

    /// @param keyFreshness maximum age of the last confirmation at which requests with keys are
    /// served
    /// @param requests applies the records that aren't the configuration; must outlive the watch
    config_watch(record_store &store, const platform_protocol &protocol, duration keyFreshness,
                 operator_requests &requests, change_listener onChange);

    void start() { m_follower.start(); }
    /// @brief Reads the stream now, unless a read sent at since or later has confirmed the
    /// configuration.
    /// @param limit how long the caller waits at most
    /// @return false if the store gave no answer in time, or its newest configuration can't be read
    /// or was removed
    bool refresh(time_point since, duration limit);
    [[nodiscard]] const active_config &activeConfig() const { return m_activeConfig; }
    /// @return when the configuration in force was put in force
    [[nodiscard]] time_point changedAt() const { return m_changedAt; }

private:
    void onSnapshot(const std::vector<keyed_record> &records, time_point sentAt) override;
    void onRecord(const std::string &record, time_point sentAt) override;
    void onComplete(time_point sentAt) override { m_activeConfig.confirm(sentAt); }
    void onRemoved();
    void applyRecord(const keyed_record &record, time_point sentAt);

    record_store &m_store;
    const platform_protocol &m_protocol;
    operator_requests &m_requests;
    const change_listener m_onChange;
    active_config m_activeConfig;
    time_point m_changedAt{};
    stream_follower m_follower;
};

} // namespace tamarack
