// Keeps the directory of upstreams up to date from their records in the store.
#pragma once

#include <tamarackglade/gateway/batch/stream_follower.hpp>
#include <tamarackglade/gateway/process/platform_protocol.hpp>
#include <tamarackglade/gateway/upstream/response_listener.hpp>
#include <tamarackglade/placement/upstream_directory.hpp>
#include <tamarackglade/placement/upstream_rates.hpp>

#include <functional>

namespace tamarack {

/// @brief Follows the stream in which upstreams write their records.
class upstream_watch final : public start_listener, private stream_listener
{
public:
    upstream_watch(record_store &store, const platform_protocol &protocol,
                   upstream_directory &directory, upstream_rates &rates,
                   std::function<void()> onChange);

    void start() { m_follower.start(); }
    /// @brief Sets whether the store has so many readers that each of them reads less often.
    void setLargeFleet(bool isLarge) { m_follower.setPause(isLarge ? LargeFleetPause : PollPause); }
    /// @brief Removes upstreams whose return grace has expired; call several times a second.
    void tick();
    /// @brief Begins to read the records now, without waiting for the result.
    void refreshSoon();
    /// @brief Reads the records now. Returns after the limit if the store hasn't answered by then.
    void refresh(duration limit);
    void onStart(const upstream_id &upstream, incarnation_number start) override;
    /// @return whether all records have been read at least once
    [[nodiscard]] bool ready() const { return m_follower.ready(); }

private:
    // Upstreams write often; reading several records at once saves calls to the store.
    static constexpr std::chrono::milliseconds PollPause{250};
    static constexpr std::chrono::milliseconds LargeFleetPause{400};

    void onSnapshot(const std::vector<keyed_record> &records, time_point sentAt) override;
    void onRecord(const std::string &record, time_point sentAt) override;
    void onComplete(time_point sentAt) override;
    void onFailure() override;
    void put(const live_upstream &upstream);

    record_store &m_store;
    const platform_protocol &m_protocol;
    upstream_directory &m_directory;
    upstream_rates &m_rates;
    const std::function<void()> m_onChange;
    stream_follower m_follower;
};

} // namespace tamarack
