// Times at which a gateway reports to others.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <cstddef>

namespace tamarack {

/// @brief Intervals of the reports to a number of receivers.
struct report_intervals
{
    duration changed{}; // shortest time between two reports
    duration unchanged{}; // longest time between two reports
};

/// @brief Intervals that bound the datagrams a second of one gateway, whatever the load.
/// @param receivers gateways that get each report
report_intervals reportIntervals(std::size_t receivers);

/// @brief Intervals of the reports to the gateways of the zone outside the cell.
/// @param receivers gateways that get each report
report_intervals otherCellIntervals(std::size_t receivers);

/// @brief Interval of the reports from one zone to all others.
/// @param otherZones zones that get each report
duration zoneReportInterval(std::size_t otherZones);

/// @brief Decides when the next report is due. Changes between two reports travel in the same one,
/// so that an overloaded fleet doesn't report more often.
class report_schedule
{
public:
    /// @param changed whether something has changed since the last report
    [[nodiscard]] bool isDue(const report_intervals &intervals, bool changed, time_point now) const
    {
        return now - m_sentAt >= (changed ? intervals.changed : intervals.unchanged);
    }
    void onSent(time_point now) { m_sentAt = now; }

private:
    time_point m_sentAt{};
};

} // namespace tamarack
