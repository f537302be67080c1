// Formats a measurement and its linear fits as Markdown and as JSON.
#include <tamarackglade/report/capacity_table.hpp>

#include <absl/strings/str_cat.h>

#include <cstdio>

namespace tamarack {

namespace {

std::string numberText(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.4g", value);
    return text;
}

std::vector<double> columnOf(const capacity_table &table, std::size_t column)
{
    std::vector<double> values;
    values.reserve(table.rows.size());
    for (const auto &row : table.rows)
        values.push_back(row[column]);
    return values;
}

} // namespace

linear_fit capacity_table::fit(std::size_t column) const
{
    return linear_fit::through(columnOf(*this, 0), columnOf(*this, column));
}

std::string capacity_table::text() const
{
    std::string result = "## " + name + " (" + role + ")\n" + setting + "\n\n|";
    std::string rule = "|";
    for (const auto &column : columns) {
        result += " " + column + " |";
        rule += "---|";
    }
    result += "\n" + rule + "\n";
    for (const auto &row : rows) {
        result += "|";
        for (const double value : row)
            absl::StrAppend(&result, " ", numberText(value), " |");
        result += "\n";
    }
    result += "\n";
    for (std::size_t column = 1; column < columns.size(); ++column) {
        const linear_fit line = fit(column);
        result += "fit: " + columns[column] + " = " + numberText(line.base) + " + "
                  + numberText(line.slope) + " * " + columns[0] + ", residual "
                  + numberText(line.residual) + "\n";
    }
    return result + "\n";
}

nlohmann::json capacity_table::json() const
{
    nlohmann::json fits = nlohmann::json::array();
    for (std::size_t column = 1; column < columns.size(); ++column) {
        const linear_fit line = fit(column);
        fits.push_back({{"column", columns[column]},
                        {"base", line.base},
                        {"slope", line.slope},
                        {"residual", line.residual}});
    }
    return {{"name", name},       {"role", role}, {"setting", setting},
            {"columns", columns}, {"rows", rows}, {"fits", fits}};
}

} // namespace tamarack
