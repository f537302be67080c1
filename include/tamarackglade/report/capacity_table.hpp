// Table of one measurement, with a linear fit of each column.
#pragma once

#include <tamarackglade/report/linear_fit.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace tamarack {

/// @brief Measured rows. The first column is the size on which the others depend.
struct capacity_table
{
    std::string name; // selects the table, such as "limits-requests"
    std::string role; // the part of the system that bears the cost
    std::string setting; // the fixed conditions
    std::vector<std::string> columns; // headings with units
    std::vector<std::vector<double>> rows; // each as long as columns

    /// @return the linear fit of a column over the first column
    [[nodiscard]] linear_fit fit(std::size_t column) const;
    /// @return a heading, a Markdown table and one line of text for each fit
    [[nodiscard]] std::string text() const;
    [[nodiscard]] nlohmann::json json() const;
};

} // namespace tamarack
