// Implements the formats of the load report.
#include <tamarackglade/load/load_report.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <optional>

namespace tamarack {

namespace {

constexpr double Quantiles[] = {0.5, 0.95, 0.99};

std::string milliseconds(const latency_histogram &histogram, double share)
{
    if (histogram.count() == 0)
        return "-";
    const auto value = histogram.quantile(share);
    return value ? absl::StrFormat("%.1f", toSeconds(*value) * 1e3) : "never";
}

nlohmann::json quantilesJson(const latency_histogram &histogram)
{
    nlohmann::json shown = {{"count", histogram.count()}};
    for (const double share : Quantiles) {
        const auto value = histogram.quantile(share);
        nlohmann::json &entry = shown[absl::StrFormat("p%.0f_ms", share * 100)];
        if (value)
            entry = toSeconds(*value) * 1e3;
    }
    return shown;
}

nlohmann::json rowJson(const load_row &row, double seconds)
{
    return {{"intended", row.intended},
            {"intended_within_rate", row.intendedWithinRate},
            {"whole", row.whole},
            {"refused", row.refused},
            {"refused_within_rate", row.refusedWithinRate},
            {"failed", row.failed},
            {"cut", row.cut},
            {"wrong", row.wrong},
            {"unfinished", row.unfinished},
            {"reasons", row.reasons},
            {"requests_per_second", static_cast<double>(row.whole) / seconds},
            {"tokens_per_second", static_cast<double>(row.tokens) / seconds},
            {"first_token", quantilesJson(row.firstToken)},
            {"gap", quantilesJson(row.gap)},
            {"total", quantilesJson(row.total)}};
}

std::string rowText(const std::string &name, const load_row &row, double seconds)
{
    return absl::StrFormat(
        "%-28s %8u %8u %7u %7u %6u %5u %5u %7u %8.1f %9.0f %8s %8s %8s %8s %8s "
        "%8s %8s\n",
        name, row.intended, row.whole, row.refused, row.refusedWithinRate, row.failed, row.cut,
        row.wrong, row.unfinished, static_cast<double>(row.whole) / seconds,
        static_cast<double>(row.tokens) / seconds, milliseconds(row.firstToken, 0.5),
        milliseconds(row.firstToken, 0.95), milliseconds(row.firstToken, 0.99),
        milliseconds(row.gap, 0.5), milliseconds(row.gap, 0.95), milliseconds(row.total, 0.5),
        milliseconds(row.total, 0.99));
}

std::string rowName(const load_profile &profile, const load_statistics::row_key &key)
{
    return absl::StrCat(profile.customers[key.first].name, "/", profile.classes[key.second].name);
}

std::string csvLine(const std::string &customer, const std::string &kind, const load_row &row,
                    double seconds)
{
    std::string line =
        absl::StrCat(customer, ",", kind, ",", row.intended, ",", row.intendedWithinRate, ",");
    absl::StrAppend(&line, row.whole, ",", row.refused, ",", row.refusedWithinRate, ",", row.failed,
                    ",");
    absl::StrAppend(&line, row.cut, ",", row.wrong, ",", row.unfinished, ",",
                    static_cast<double>(row.tokens) / seconds);
    for (const latency_histogram *histogram : {&row.firstToken, &row.gap, &row.total}) {
        for (const double share : Quantiles)
            absl::StrAppend(&line, ",", milliseconds(*histogram, share));
    }
    return line + "\n";
}

std::map<std::uint32_t, load_row> rowsByCustomer(const load_statistics &statistics)
{
    std::map<std::uint32_t, load_row> rows;
    for (const auto &[key, row] : statistics.rows())
        rows[key.first].merge(row);
    return rows;
}

nlohmann::json slicesJson(const load_report &report)
{
    nlohmann::json slices = nlohmann::json::array();
    for (const auto &[key, slice] : report.result.statistics.slices())
        slices.push_back(
            {{"at_s", static_cast<double>(key.first) * toSeconds(load_statistics::SliceLength)},
             {"target", report.profile.targets[key.second].name},
             {"intended", slice.intended},
             {"whole", slice.whole},
             {"reasons", slice.reasons}});
    return slices;
}

} // namespace

std::string reportText(const load_report &report)
{
    const load_row total = report.result.statistics.total();
    const double seconds = report.result.measuredSeconds;
    std::string text = absl::StrFormat(
        "%-28s %8s %8s %7s %7s %6s %5s %5s %7s %8s %9s %8s %8s %8s %8s %8s %8s %8s\n",
        "customer/class (times in ms)", "intended", "whole", "refused", "in-rate", "failed", "cut",
        "wrong", "unfin.", "req/s", "tokens/s", "ttft50", "ttft95", "ttft99", "gap50", "gap95",
        "all50", "all99");
    for (const auto &[key, row] : report.result.statistics.rows())
        text += rowText(rowName(report.profile, key), row, seconds);
    text += rowText("all", total, seconds);
    for (const auto &[reason, count] : total.reasons)
        absl::StrAppend(&text, "not whole: ", reason, ": ", count, "\n");
    absl::StrAppend(&text, absl::StrFormat("maximum start delay of the tool: %.2f ms\n",
                                           toSeconds(report.result.maxStartDelay) * 1e3));
    for (const batch_result &batch : report.batches)
        absl::StrAppend(&text,
                        absl::StrFormat("batch %s: %s, %u items: %u whole, %u errors, %u wrong, %u "
                                        "duplicates, %u missing; %.1f s, %.1f items/s\n",
                                        batch.name, batch.status, batch.items, batch.whole,
                                        batch.errors, batch.wrong, batch.duplicates, batch.missing,
                                        batch.seconds, batch.itemsPerSecond()));
    return text;
}

nlohmann::json reportJson(const load_report &report)
{
    const double seconds = report.result.measuredSeconds;
    nlohmann::json rows = nlohmann::json::array();
    for (const auto &[key, row] : report.result.statistics.rows()) {
        nlohmann::json shown = rowJson(row, seconds);
        shown["customer"] = report.profile.customers[key.first].name;
        shown["class"] = report.profile.classes[key.second].name;
        rows.push_back(std::move(shown));
    }
    nlohmann::json batches = nlohmann::json::array();
    for (const batch_result &batch : report.batches)
        batches.push_back({{"name", batch.name},
                           {"status", batch.status},
                           {"items", batch.items},
                           {"whole", batch.whole},
                           {"errors", batch.errors},
                           {"wrong", batch.wrong},
                           {"duplicates", batch.duplicates},
                           {"missing", batch.missing},
                           {"seconds", batch.seconds},
                           {"items_per_second", batch.itemsPerSecond()}});
    return {{"seed", report.profile.seed},
            {"seconds", seconds},
            {"latest_start_ms", toSeconds(report.result.maxStartDelay) * 1e3},
            {"rows", rows},
            {"all", rowJson(report.result.statistics.total(), seconds)},
            {"slices", slicesJson(report)},
            {"batches", batches}};
}

std::string reportCsv(const load_report &report)
{
    std::string text = "customer,class,intended,intended_within_rate,whole,refused,"
                       "refused_within_rate,failed,cut,wrong,unfinished,tokens_per_second";
    for (const char *name : {"first_token", "gap", "total"}) {
        for (const double share : Quantiles)
            absl::StrAppend(&text, ",", name, absl::StrFormat("_p%.0f_ms", share * 100));
    }
    text += "\n";
    for (const auto &[key, row] : report.result.statistics.rows())
        text +=
            csvLine(report.profile.customers[key.first].name,
                    report.profile.classes[key.second].name, row, report.result.measuredSeconds);
    return text;
}

std::string reportSvg(const load_report &report)
{
    constexpr double Width = 640;
    constexpr double Height = 360;
    constexpr double Margin = 50;
    constexpr int Steps = 100;
    const auto rows = rowsByCustomer(report.result.statistics);
    double maxSeconds = 1e-3;
    for (const auto &[customer, row] : rows)
        maxSeconds =
            std::max(maxSeconds, toSeconds(row.firstToken.quantile(0.99).value_or(duration{})));
    std::string svg = absl::StrFormat(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" height=\"%.0f\" "
        "font-family=\"sans-serif\" font-size=\"11\"><rect width=\"100%%\" height=\"100%%\" "
        "fill=\"white\"/><text x=\"%.0f\" y=\"16\">time to first token by quantile "
        "(0 to %.0f ms; a curve ends where answers are missing)</text>",
        Width + 200, Height + Margin, Margin, maxSeconds * 1e3);
    std::size_t index = 0;
    for (const auto &[customer, row] : rows) {
        std::string points;
        for (int step = 1; step <= Steps; ++step) {
            const auto value = row.firstToken.quantile(static_cast<double>(step) / Steps);
            if (!value || toSeconds(*value) > maxSeconds)
                break;
            absl::StrAppend(
                &points, absl::StrFormat("%.1f,%.1f ", Margin + (Width - Margin) * step / Steps,
                                         Height - (Height - 30) * toSeconds(*value) / maxSeconds));
        }
        const int hue = static_cast<int>(index * 47 % 360);
        const double label = 30.0 + 16.0 * static_cast<double>(index++);
        absl::StrAppend(
            &svg,
            absl::StrFormat("<polyline fill=\"none\" stroke=\"hsl(%d,70%%,40%%)\" points=\"%s\"/>"
                            "<text x=\"%.0f\" y=\"%.0f\" fill=\"hsl(%d,70%%,40%%)\">%s</text>",
                            hue, points, Width + 10, label, hue,
                            report.profile.customers[customer].name));
    }
    return svg + "</svg>\n";
}

} // namespace tamarack
