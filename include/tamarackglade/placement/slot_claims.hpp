// Claims to slots that several gateways may take at the same time.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// @brief Durations of claims.
struct claim_options
{
    /// Age at which a claim is granted. Longer than the time until each gateway has received the
    /// others' reports, so that of two gateways that claim a slot both know it by then.
    duration settleTime = std::chrono::milliseconds(450);
    /// Claims that are not asked for in this time end.
    duration unusedLifetime = std::chrono::milliseconds(250);
    /// Bound of the random pause after a conflict with another gateway; doubles with each in a row.
    duration firstPause = std::chrono::milliseconds(900);
    duration maxPause = std::chrono::seconds(8);
    std::size_t maxClaims = 8; // at the same time
};

/// @brief Claims of this gateway to slots of upstreams that have too few for one of each gateway.
///
/// Gateways learn of each other's use from reports, so two may give the same free slot away between
/// two reports. A claim is reported like a slot in use, and is granted once the reports of all
/// gateways have arrived without another use or claim of the slot. Gateways whose claims meet
/// withdraw them and try again after random pauses.
class slot_claims
{
public:
    slot_claims(claim_options options, std::uint64_t seed) : m_options(options), m_random(seed) { }

    /// @return whether the upstream is claimed, so that a slot of it counts as in use
    [[nodiscard]] bool holds(const upstream_id &upstream) const;
    /// @return whether a claim may be begun: there is room for one, and no pause after a conflict
    [[nodiscard]] bool mayBegin(const upstream_id &upstream, time_point now) const;
    /// @brief Begins a claim; only where mayBegin().
    void begin(const upstream_id &upstream, time_point now);
    /// @brief Marks a claim as still needed.
    /// @return whether it is granted
    bool use(const upstream_id &upstream, time_point now);
    /// @brief Ends a claim, as the slot is in use, and draws the time of the next one. Gateways
    /// that wait for the same slot then don't all claim it as soon as it is free.
    void onTaken(const upstream_id &upstream, time_point now);
    /// @brief Ends a claim whose slot has been taken, or is needed for other work.
    void end(const upstream_id &upstream) { m_claims.erase(upstream); }

    /// @brief Ends the claims that were not used recently, and removes expired conflicts.
    /// @return the upstreams of the ended claims
    std::vector<upstream_id> tick(time_point now);

private:
    /// A claim, or the pause before the next one.
    struct claim
    {
        std::optional<time_point> begunAt; // nullopt during the pause after a conflict
        time_point usedAt{};
        time_point pausedUntil{};
        unsigned conflicts = 0; // in a row
    };

    const claim_options m_options;
    std::mt19937_64 m_random;
    std::unordered_map<upstream_id, claim> m_claims;
};

} // namespace tamarack
