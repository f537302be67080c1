// Bounds the number of evacuations.
#include <tamarackglade/placement/evacuated_zones.hpp>

namespace tamarack {

bool evacuated_zones::add(const zone_id &zone)
{
    return m_zones.size() < MaxZones && m_zones.insert(zone).second;
}

} // namespace tamarack
