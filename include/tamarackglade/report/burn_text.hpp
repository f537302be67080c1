// The burn report as JSON and as cells of a table.
#pragma once

#include <tamarackglade/report/burn_summary.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace tamarack {

/// @return the report as JSON, without the history of its rows
nlohmann::ordered_json burnJson(const burn_summary &summary);

/// @return the column headings of burnCells
std::vector<std::string> burnColumns();
/// @return the cell texts of each row of the report
std::vector<std::vector<std::string>> burnCells(const burn_summary &summary);

/// @return a time in days, hours or minutes, the largest of them that fits, such as "5 min"
std::string burnTimeText(double seconds);

} // namespace tamarack
