// Formats results of tamarackctl as tables and JSON.
#include <tamarackglade/ctl/ctl_output.hpp>

#include <algorithm>
#include <iostream>

namespace tamarack {

namespace {

std::vector<std::size_t> columnWidths(const std::vector<std::string> &columns,
                                      const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (std::size_t i = 0; i < columns.size(); ++i) {
        std::size_t width = columns[i].size();
        for (const auto &row : rows)
            width = std::max(width, row[i].size());
        widths.push_back(width);
    }
    return widths;
}

void printRow(const std::vector<std::string> &cells, const std::vector<std::size_t> &widths)
{
    std::string line;
    for (std::size_t i = 0; i < cells.size(); ++i) {
        line += cells[i];
        if (i + 1 < cells.size())
            line.append(widths[i] - cells[i].size() + 2, ' ');
    }
    std::cout << line << "\n";
}

nlohmann::ordered_json rowsAsJson(const std::vector<std::string> &columns,
                                  const std::vector<std::vector<std::string>> &rows)
{
    auto array = nlohmann::ordered_json::array();
    for (const auto &row : rows) {
        nlohmann::ordered_json object;
        for (std::size_t i = 0; i < columns.size(); ++i)
            object[columns[i]] = row[i];
        array.push_back(std::move(object));
    }
    return array;
}

} // namespace

void ctl_output::result(const nlohmann::ordered_json &object, const std::string &text)
{
    if (m_json)
        std::cout << object.dump(2) << "\n";
    else
        std::cout << text << "\n";
}

void ctl_output::table(const std::vector<std::string> &columns,
                       const std::vector<std::vector<std::string>> &rows)
{
    if (m_json) {
        std::cout << rowsAsJson(columns, rows).dump(2) << "\n";
        return;
    }
    const auto widths = columnWidths(columns, rows);
    printRow(columns, widths);
    for (const auto &row : rows)
        printRow(row, widths);
}

void ctl_output::progress(const std::string &line)
{
    if (!m_json)
        std::cerr << line << "\n";
}

void ctl_output::error(const std::string &message)
{
    std::cerr << message << "\n";
}

} // namespace tamarack
