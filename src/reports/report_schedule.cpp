// Lengthens the intervals with the number of receivers.
#include <tamarackglade/reports/report_schedule.hpp>

#include <algorithm>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds MinChangeInterval{20};
// At most 500 datagrams a second for changes, and 250 to other cells.
constexpr std::chrono::milliseconds ChangeIntervalPerReceiver{2};
constexpr std::chrono::milliseconds OtherCellIntervalPerReceiver{4};
constexpr std::chrono::milliseconds MinInterval{100};
constexpr std::chrono::milliseconds MaxInterval{330};
constexpr std::chrono::milliseconds IntervalPerReceiver{10};
// Gateways of other cells mostly need the customers' admissions; they use few slots of this cell.
constexpr std::chrono::milliseconds MinOtherCellInterval{150};
// Customers' admissions reach the other zones by these reports, so they decide by how much all
// gateways together can exceed a rate.
constexpr std::chrono::milliseconds MinZoneInterval{50};
constexpr std::chrono::milliseconds ZoneIntervalPerZone{25};

} // namespace

report_intervals reportIntervals(std::size_t receivers)
{
    const duration changed =
        std::max<duration>(MinChangeInterval, receivers * ChangeIntervalPerReceiver);
    const duration unchanged =
        std::clamp<duration>(receivers * IntervalPerReceiver, MinInterval, MaxInterval);
    return {changed, std::max(changed, unchanged)};
}

report_intervals otherCellIntervals(std::size_t receivers)
{
    const duration interval = std::max<duration>(
        MinOtherCellInterval, receivers * duration(OtherCellIntervalPerReceiver));
    return {interval, std::max<duration>(interval, MaxInterval)};
}

duration zoneReportInterval(std::size_t otherZones)
{
    return std::max<duration>(MinZoneInterval, otherZones * ZoneIntervalPerZone);
}

} // namespace tamarack
