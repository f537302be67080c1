// Measured points of one mechanism, with the line through each column.
#pragma once

#include <tamarackglade/report/linear_fit.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace tamarack {

/// @brief Rows of numbers; the first column is the size that the others depend on.
struct capacity_table
{
    std::string name; // short, for selection: "limits-requests"
    std::string role; // that carries the mechanism
    std::string setting; // what was held fixed
    std::vector<std::string> columns; // with units
    std::vector<std::vector<double>> rows; // each as long as columns

    /// @return the line through a column, over the first one
    [[nodiscard]] linear_fit fit(std::size_t column) const;
    /// @return heading, Markdown table, and a line for each fit
    [[nodiscard]] std::string text() const;
    [[nodiscard]] nlohmann::json json() const;
};

} // namespace tamarack
