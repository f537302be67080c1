// The burn report as JSON and as a table's cells.
#pragma once

#include <tamarackglade/report/burn_summary.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace tamarack {

/// @return the whole report without its history
nlohmann::ordered_json burnJson(const burn_summary &summary);

/// @return the headings of burnCells
std::vector<std::string> burnColumns();
/// @return one row of cells for each row of the report
std::vector<std::vector<std::string>> burnCells(const burn_summary &summary);

/// @return a time in its largest fitting unit, such as "5 min"
std::string burnTimeText(double seconds);

} // namespace tamarack
