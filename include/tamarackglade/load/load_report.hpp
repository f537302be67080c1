// Formats the results of a load run as text, JSON, CSV and an SVG plot.
#pragma once

#include <tamarackglade/load/batch_result.hpp>
#include <tamarackglade/load/load_profile.hpp>
#include <tamarackglade/load/load_run.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace tamarack {

/// @brief A profile and the results of its run.
struct load_report
{
    const load_profile &profile;
    load_result result;
    std::vector<batch_result> batches;
};

/// @return tables for people; "never" stands for a quantile that falls on events that never
/// happened
std::string reportText(const load_report &report);

/// @return all results; a quantile that falls on events that never happened is null
nlohmann::json reportJson(const load_report &report);

/// @return a header and a line for each customer and class
std::string reportCsv(const load_report &report);

/// @return a plot of the time to the first token by quantile, with a curve for each customer
std::string reportSvg(const load_report &report);

} // namespace tamarack
