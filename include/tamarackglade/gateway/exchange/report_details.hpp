// The parts of a report that all gateways need, and that most reports lack.
#pragma once

#include <tamarackglade/schema/peer_generated.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace tamarack {

/// @return whether a report holds breaks, quarantines, upstreams' rates or leaving upstreams
bool hasDetails(const schema::peer_report_message &report);

/// @brief Prepares the details of several gateways' reports for other zones. Successes, served runs
/// and proper ends don't depend on their reporter: the first report lists each once, with its
/// lowest age. Breaks, successes and proper ends older than maxAgeMillis are removed, as earlier
/// reports contained them. Reports without details are removed.
void mergeDetails(std::vector<std::unique_ptr<schema::peer_report_message>> &reports,
                  std::uint64_t maxAgeMillis);

/// @brief Adds the time for which a report was kept to the ages of its details.
void addAge(schema::peer_report_message &report, std::uint64_t millis);

} // namespace tamarack
