// The parts of a report that all gateways need and that are seldom there.
#pragma once

#include <tamarackglade/schema/peer_generated.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace tamarack {

/// @return whether a report holds breaks, quarantines, upstreams' rates or leaving upstreams
bool hasDetails(const schema::peer_report_message &report);

/// @brief Prepares the details of several gateways' reports for other zones. What doesn't depend on
/// the gateway that tells it is moved to the first report and listed once there, with its lowest
/// age; breaks, successes and proper ends that are older than maxAge are dropped, as earlier
/// reports told them. Reports that have no details left are removed.
void mergeDetails(std::vector<std::unique_ptr<schema::peer_report_message>> &reports,
                  std::uint64_t maxAgeMillis);

/// @brief Adds the time for which a report was kept to the ages of its details.
void addAge(schema::peer_report_message &report, std::uint64_t millis);

} // namespace tamarack
