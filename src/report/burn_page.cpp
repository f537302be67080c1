// Writes the page: a table, with a bar plot of the share of bad events over time in each row.
#include <tamarackglade/report/burn_page.hpp>
#include <tamarackglade/report/burn_text.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_replace.h>

#include <algorithm>

namespace tamarack {

namespace {

constexpr int BarWidth = 4; // pixels
constexpr int PlotHeight = 40; // pixels
constexpr std::string_view Style =
    "body{font:14px sans-serif;margin:2em;color:#222}table{border-collapse:collapse}"
    "th,td{padding:4px 10px;border-bottom:1px solid #ddd;text-align:left;white-space:nowrap}"
    "svg{background:#f4f4f4}.bad{fill:#c0392b}.good{fill:#8ab6a0}.over td{background:#fbe9e7}"
    "line{stroke:#555;stroke-dasharray:3 2}";

std::string escaped(const std::string &text)
{
    return absl::StrReplaceAll(text,
                               {{"&", "&amp;"}, {"<", "&lt;"}, {">", "&gt;"}, {"\"", "&quot;"}});
}

std::string bar(std::size_t index, const burn_count &count, double scale)
{
    if (count.total() == 0)
        return {};
    const double share = static_cast<double>(count.bad) / static_cast<double>(count.total());
    const double height =
        count.bad == 0 ? 1 : std::max(2.0, std::min(1.0, share / scale) * PlotHeight);
    return absl::StrFormat(
        "<rect class=\"%s\" x=\"%d\" y=\"%.1f\" width=\"%d\" height=\"%.1f\"><title>%d bad of "
        "%d</title></rect>",
        count.bad == 0 ? "good" : "bad", static_cast<int>(index) * BarWidth, PlotHeight - height,
        BarWidth - 1, height, count.bad, count.total());
}

// Plots the share of bad events; a dashed line marks the share that the objective allows.
std::string plot(const burn_row &row)
{
    const double allowed = 1 - row.objective.targetPercent / 100;
    double scale = 2 * allowed;
    for (const burn_count &count : row.history) {
        if (count.total() > 0)
            scale = std::max(scale,
                             static_cast<double>(count.bad) / static_cast<double>(count.total()));
    }
    const int width = static_cast<int>(row.history.size()) * BarWidth;
    const double allowedY = PlotHeight * (1 - allowed / scale);
    std::string svg = absl::StrFormat("<svg width=\"%d\" height=\"%d\" role=\"img\" "
                                      "aria-label=\"share of bad events\">",
                                      width, PlotHeight);
    for (std::size_t i = 0; i < row.history.size(); ++i)
        absl::StrAppend(&svg, bar(i, row.history[i], scale));
    absl::StrAppend(&svg,
                    absl::StrFormat("<line x1=\"0\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\"/>", width,
                                    allowedY, allowedY),
                    "</svg>");
    return svg;
}

std::string headings()
{
    std::string html = "<tr>";
    for (const std::string &column : burnColumns())
        absl::StrAppend(&html, "<th>", escaped(column), "</th>");
    return absl::StrCat(html, "<th>bad events over time</th></tr>\n");
}

} // namespace

std::string burnPage(const burn_summary &summary)
{
    const auto cells = burnCells(summary);
    const double dataSpanS = static_cast<double>(summary.nowS - summary.firstDataS);
    std::string html = absl::StrCat(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level "
        "burn</title>\n<style>",
        std::string(Style), "</style></head><body>\n<h1>Service-level burn</h1>\n<p>Data reach ",
        burnTimeText(dataSpanS),
        " back. A burn rate of 1 uses the budget up in exactly 3 days; each "
        "bar of a plot is ",
        burnTimeText(static_cast<double>(summary.historyBucketS)),
        ", the newest at the right, and the dashed line is the share that the objective "
        "allows.</p>\n<table>\n",
        headings());
    for (std::size_t i = 0; i < summary.rows.size(); ++i) {
        const burn_row &row = summary.rows[i];
        absl::StrAppend(&html, row.budgetLeft <= 0 ? "<tr class=\"over\">" : "<tr>");
        for (const std::string &cell : cells[i])
            absl::StrAppend(&html, "<td>", escaped(cell), "</td>");
        absl::StrAppend(&html, "<td>", plot(row), "</td></tr>\n");
    }
    return absl::StrCat(html, "</table>\n</body></html>\n");
}

} // namespace tamarack
