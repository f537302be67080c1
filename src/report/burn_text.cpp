// Formats the burn report as table cells and as JSON.
#include <tamarackglade/report/burn_text.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace tamarack {

namespace {

using json = nlohmann::ordered_json;

const char *className(objective_class requests)
{
    return requests == objective_class::Batch ? "batch" : "online";
}

std::string customerText(const burn_row &row)
{
    return row.customer.value().empty() ? "(all)" : row.customer.value();
}

std::string windowText(const burn_window &window)
{
    if (window.count.total() == 0)
        return "-";
    return absl::StrFormat("%.2f (%d/%d)", window.burnRate, window.count.bad, window.count.total());
}

std::string exhaustionText(const burn_row &row)
{
    if (!row.exhaustionS)
        return "never";
    return *row.exhaustionS <= 0 ? "used up" : burnTimeText(*row.exhaustionS);
}

json rowJson(const burn_row &row)
{
    json object;
    object["objective"] = row.objective.name;
    object["customer"] = row.customer.value().empty() ? json(nullptr) : json(row.customer.value());
    object["class"] = className(row.requests);
    object["target_percent"] = row.objective.targetPercent;
    object["windows"] = json::array();
    for (const burn_window &window : row.windows) {
        json one;
        one["seconds"] = window.lengthS;
        one["good"] = window.count.good;
        one["bad"] = window.count.bad;
        one["burn_rate"] = window.burnRate;
        object["windows"].push_back(std::move(one));
    }
    object["budget_left"] = row.budgetLeft;
    object["exhaustion_s"] = row.exhaustionS ? json(*row.exhaustionS) : json(nullptr);
    return object;
}

} // namespace

std::string burnTimeText(double seconds)
{
    constexpr double Minute = 60;
    constexpr double Hour = 60 * Minute;
    constexpr double Day = 24 * Hour;
    if (seconds >= Day)
        return absl::StrFormat("%.3g d", seconds / Day);
    if (seconds >= Hour)
        return absl::StrFormat("%.3g h", seconds / Hour);
    return absl::StrFormat("%.3g min", seconds / Minute);
}

nlohmann::ordered_json burnJson(const burn_summary &summary)
{
    json object;
    object["now_s"] = summary.nowS;
    object["first_data_s"] = summary.firstDataS;
    object["rows"] = json::array();
    for (const burn_row &row : summary.rows)
        object["rows"].push_back(rowJson(row));
    return object;
}

std::vector<std::string> burnColumns()
{
    std::vector<std::string> columns{"objective", "customer", "class", "target"};
    for (const std::uint64_t length : BurnWindowsS)
        columns.push_back(absl::StrCat("burn ", burnTimeText(static_cast<double>(length))));
    columns.insert(columns.end(), {"budget left", "exhausted in"});
    return columns;
}

std::vector<std::vector<std::string>> burnCells(const burn_summary &summary)
{
    std::vector<std::vector<std::string>> rows;
    for (const burn_row &row : summary.rows) {
        std::vector<std::string> cells{row.objective.name, customerText(row),
                                       className(row.requests),
                                       absl::StrFormat("%g%%", row.objective.targetPercent)};
        for (const burn_window &window : row.windows)
            cells.push_back(windowText(window));
        cells.push_back(absl::StrFormat("%.1f%%", row.budgetLeft * 100));
        cells.push_back(exhaustionText(row));
        rows.push_back(std::move(cells));
    }
    return rows;
}

} // namespace tamarack
