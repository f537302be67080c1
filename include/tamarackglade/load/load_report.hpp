// The results of a run as text, JSON, CSV and an SVG plot.
#pragma once

#include <tamarackglade/load/batch_result.hpp>
#include <tamarackglade/load/load_profile.hpp>
#include <tamarackglade/load/load_run.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace tamarack {

/// @brief What a report shows.
struct load_report
{
    const load_profile &profile;
    load_result result;
    std::vector<batch_result> batches;
};

/// @return tables for people; "never" stands for a quantile beyond the answers that came
std::string reportText(const load_report &report);

/// @return all figures; a quantile that never came is null
nlohmann::json reportJson(const load_report &report);

/// @return a line for each customer and class, with a header
std::string reportCsv(const load_report &report);

/// @return a plot of the time to the first token by quantile, a curve for each customer
std::string reportSvg(const load_report &report);

} // namespace tamarack
