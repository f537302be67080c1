// Availability zones whose upstreams operators have asked to leave without work.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <cstddef>
#include <set>

namespace tamarack {

/// @brief The zones under evacuation, as the operators' records in the store have it.
///
/// A zone needs no upstream when its evacuation is asked for: one that appears later gets nothing
/// either. More zones than MaxZones are ignored, since a fleet has fewer.
class evacuated_zones
{
public:
    static constexpr std::size_t MaxZones = 1'024;

    /// @brief Begins an evacuation.
    /// @return whether the zone wasn't under evacuation; false if there are too many
    bool add(const zone_id &zone);
    /// @brief Ends an evacuation.
    /// @return whether the zone was under evacuation
    bool remove(const zone_id &zone) { return m_zones.erase(zone) > 0; }

    [[nodiscard]] bool contains(const zone_id &zone) const { return m_zones.contains(zone); }
    [[nodiscard]] const std::set<zone_id> &zones() const { return m_zones; }

private:
    std::set<zone_id> m_zones;
};

} // namespace tamarack
