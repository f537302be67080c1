// Crashes of upstreams by the requests that they ran, and which request explains them.
#pragma once

#include <tamarackglade/quarantine/broken_run.hpp>
#include <tamarackglade/quarantine/latest_times.hpp>
#include <tamarackglade/quarantine/request_quarantine_options.hpp>

#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// @brief A run of a request that broke off when its upstream crashed.
struct request_crash
{
    instance_hash instance;
    time_point brokeAt{};
    time_point addedAt{};
};

/// @brief Collects the broken runs of all gateways by request.
///
/// Several requests run at an upstream when it crashes, so each of them is suspected. The request
/// that is at fault gathers crashes of further upstreams, and these explain the crashes of those
/// that ran beside it. A run that ends properly clears its request.
class request_crashes
{
public:
    /// Whether an instance served a run that was sent after the given time.
    using living_predicate = std::function<bool(instance_hash, time_point)>;
    using request_predicate = std::function<bool(const request_fingerprint &)>;

    explicit request_crashes(const request_quarantine_options &options);

    /// @brief Adds a break; further ones of the request at the same instance are ignored.
    /// @return whether the request has a new crash
    bool add(const broken_run &broken, time_point now);
    /// @brief Records a run that ended properly, and drops the crashes of the request before.
    void addSuccess(const request_fingerprint &request, time_point at);
    [[nodiscard]] std::optional<time_point> lastSuccess(const request_fingerprint &request) const
    {
        return m_successes.find(request);
    }
    /// @brief Drops the recent breaks at instances that serve later runs; O(recent breaks).
    void dropRefuted(const living_predicate &livesOn, time_point now);
    /// @brief Drops the crashes that are older than forgetAfter; O(crashes).
    void dropOld(time_point now);

    /// @return the crashes of the request, in order of addition
    [[nodiscard]] const std::vector<request_crash> &of(const request_fingerprint &request) const;
    /// @return the requests that ran at the instance when it crashed
    [[nodiscard]] const std::set<request_fingerprint> &at(instance_hash instance) const;
    /// @return the crashes of the request that no other request explains
    [[nodiscard]] unsigned blameOf(const request_fingerprint &request) const;
    /// @return whether each crash of the request is explained by another one that is a cause
    [[nodiscard]] bool isBystanderOf(const request_predicate &isCause,
                                     const request_fingerprint &request) const;
    /// @return whether each crash of the request is explained by another one
    [[nodiscard]] bool mayBeBystander(const request_fingerprint &request) const;
    /// @return the requests with at least this number of crashes
    [[nodiscard]] std::vector<request_fingerprint> withCrashes(unsigned minCrashes) const;
    /// @return the number of instances of the group that crashed after the given time
    [[nodiscard]] std::size_t crashedSince(const group_id &group, time_point since) const;
    [[nodiscard]] std::size_t size() const { return m_requests.size(); }

private:
    struct recent_break
    {
        request_fingerprint request;
        group_id group;
        instance_hash instance;
        time_point brokeAt{};
        bool refuted = false; // the instance serves later runs
    };
    using crash_list = std::vector<request_crash>;

    [[nodiscard]] bool explains(const request_fingerprint &other,
                                const request_fingerprint &request, instance_hash instance) const;
    void remove(const request_fingerprint &request, instance_hash instance);
    void forget(const request_fingerprint &request);
    [[nodiscard]] bool isRecent(const broken_run &broken) const;
    void makeRoomFor(const request_fingerprint &request);

    const request_quarantine_options &m_options;
    std::unordered_map<request_fingerprint, crash_list> m_requests; // at most maxRequests
    // The requests of m_requests that crashed at each instance.
    std::unordered_map<instance_hash, std::set<request_fingerprint>> m_byInstance;
    std::vector<recent_break> m_recent; // of the last livingWindow, of batch items too; bounded
    latest_times<request_fingerprint> m_successes;
};

} // namespace tamarack
