// Implements the command burn from the burn counts and the batch jobs in the log.
#include <tamarackglade/ctl/config_reader.hpp>
#include <tamarackglade/ctl/ctl_failure.hpp>
#include <tamarackglade/ctl/exit_code.hpp>
#include <tamarackglade/ctl/jobs_reader.hpp>
#include <tamarackglade/ctl/read_stream.hpp>
#include <tamarackglade/ctl/report_commands.hpp>
#include <tamarackglade/report/burn_page.hpp>
#include <tamarackglade/report/burn_report.hpp>
#include <tamarackglade/report/burn_text.hpp>
#include <tamarackglade/runtime/steady_now.hpp>

#include <absl/strings/str_cat.h>
#include <gflags/gflags.h>

#include <fstream>

DEFINE_string(html, "", "burn: file to write the report to as an HTML page");

namespace tamarack {

namespace {

absl::StatusOr<burn_summary> readSummary(ctl_context &context)
{
    const auto config = readConfig(context.platform);
    if (!config.ok())
        return config.status();
    const auto state = config->state();
    if (!state->inForce)
        return absl::FailedPreconditionError("no manifest is in force");
    burn_fold fold;
    const auto read = readStream(context.platform, std::string(BurnStream), log_offset(1),
                                 [&](const log_entry &entry) {
                                     const auto batch = decodeBatch(entry.payload);
                                     if (batch.ok())
                                         fold.apply(*batch);
                                 });
    if (!read.ok())
        return read.status();
    const auto jobs = readAllJobs(context.platform);
    if (!jobs.ok())
        return jobs.status();
    const std::uint64_t nowS = wallSeconds();
    burn_report report(*state->inForce);
    report.addCounts(fold);
    for (const partition_fold &partition : *jobs) {
        for (const auto &[id, job] : partition.jobs())
            report.addJob(job, nowS);
    }
    return report.summarize(nowS);
}

} // namespace

int runBurn(ctl_context &context)
{
    if (!context.arguments.empty())
        return printUsageError(context, "burn [--html=FILE]");
    const auto summary = readSummary(context);
    if (!summary.ok())
        return printFailure(context, summary.status());
    if (!FLAGS_html.empty()) {
        std::ofstream file(FLAGS_html);
        file << burnPage(*summary);
        file.close();
        if (!file) {
            context.output.error(absl::StrCat(FLAGS_html, ": can't be written"));
            return ExitFailed;
        }
    }
    if (context.output.isJson())
        context.output.result(burnJson(*summary), "");
    else
        context.output.table(burnColumns(), burnCells(*summary));
    return ExitDone;
}

} // namespace tamarack
