// Implements the commands jobs list, jobs show and jobs cancel, which work on the log.
#include <tamarackglade/core/partition.hpp>
#include <tamarackglade/ctl/append_batch.hpp>
#include <tamarackglade/ctl/ctl_failure.hpp>
#include <tamarackglade/ctl/exit_code.hpp>
#include <tamarackglade/ctl/jobs_reader.hpp>
#include <tamarackglade/ctl/report_commands.hpp>
#include <tamarackglade/entry/job_json.hpp>
#include <tamarackglade/jobs/job_submission.hpp>
#include <tamarackglade/runtime/random_bytes.hpp>
#include <tamarackglade/runtime/steady_now.hpp>

#include <absl/strings/str_cat.h>

namespace tamarack {

namespace {

using json = nlohmann::ordered_json;

constexpr const char *Usage = "jobs list [CUSTOMER] | jobs show ID | jobs cancel ID";

/// @brief A job and the partition that holds it.
struct found_job
{
    partition_id partition;
    const batch_job *job = nullptr;
};

json jobJsonWithCustomer(const batch_job &job)
{
    json view = jobJson(job);
    view["customer"] = job.customer.value();
    return view;
}

found_job findJob(const std::vector<partition_fold> &folds, const job_id &id)
{
    for (const partition_fold &fold : folds) {
        if (const batch_job *job = fold.job(id))
            return {fold.partition(), job};
    }
    return {};
}

int printUnknownJob(ctl_context &context, const std::string &id)
{
    context.output.error(absl::StrCat("no job '", id, "' in the log"));
    return ExitUsage;
}

std::vector<std::string> jobCells(const batch_job &job)
{
    return {job.id.value(),
            job.customer.value(),
            std::string(jobStateName(job.state())),
            job.model.value(),
            absl::StrCat(job.itemCount()),
            absl::StrCat(job.succeeded),
            absl::StrCat(job.failed),
            absl::StrCat(job.createdAtS),
            absl::StrCat(job.dueAtS())};
}

int listJobs(ctl_context &context, const std::string &customer)
{
    const auto folds = readAllJobs(context.platform);
    if (!folds.ok())
        return printFailure(context, folds.status());
    auto objects = json::array();
    std::vector<std::vector<std::string>> rows;
    for (const partition_fold &fold : *folds) {
        for (const auto &[id, job] : fold.jobs()) {
            if (!customer.empty() && job.customer.value() != customer)
                continue;
            objects.push_back(jobJsonWithCustomer(job));
            rows.push_back(jobCells(job));
        }
    }
    if (context.output.isJson())
        context.output.result(objects, "");
    else
        context.output.table({"job", "customer", "status", "model", "items", "completed", "failed",
                              "created_at", "due_at"},
                             rows);
    return ExitDone;
}

int showJob(ctl_context &context, const std::string &id)
{
    const auto folds = readAllJobs(context.platform);
    if (!folds.ok())
        return printFailure(context, folds.status());
    const found_job found = findJob(*folds, job_id(id));
    if (found.job == nullptr)
        return printUnknownJob(context, id);
    const json view = jobJsonWithCustomer(*found.job);
    context.output.result(view, view.dump(2));
    return ExitDone;
}

// All attempts use one record id, because the fold applies records of equal id only once.
absl::Status appendCancel(ctl_context &context, const found_job &found)
{
    const auto batch = cancelBatch(found.job->id, randomId("ctl_cancel_"), wallSeconds());
    return appendBatch(context.platform, jobStreamName(found.partition), batch).status();
}

int cancelJob(ctl_context &context, const std::string &id)
{
    const auto folds = readAllJobs(context.platform);
    if (!folds.ok())
        return printFailure(context, folds.status());
    const found_job found = findJob(*folds, job_id(id));
    if (found.job == nullptr)
        return printUnknownJob(context, id);
    if (!found.job->isEnded()) {
        const absl::Status stored = appendCancel(context, found);
        if (!stored.ok())
            return printFailure(context, stored);
    }
    const auto after = readJobs(context.platform, found.partition);
    if (!after.ok())
        return printFailure(context, absl::UnknownError(after.status().message()));
    const batch_job *job = after->job(job_id(id));
    if (job == nullptr)
        return printUnknownJob(context, id);
    context.output.result(
        jobJsonWithCustomer(*job),
        absl::StrCat("job ", id, " is ", std::string(jobStateName(job->state()))));
    return job->isEnded() ? ExitDone : ExitFailed;
}

} // namespace

int runJobs(ctl_context &context)
{
    const auto &arguments = context.arguments;
    const std::string verb = arguments.empty() ? "" : arguments[0];
    if (verb == "list" && arguments.size() <= 2)
        return listJobs(context, arguments.size() == 2 ? arguments[1] : "");
    if (verb == "show" && arguments.size() == 2)
        return showJob(context, arguments[1]);
    if (verb == "cancel" && arguments.size() == 2)
        return cancelJob(context, arguments[1]);
    return printUsageError(context, Usage);
}

} // namespace tamarack
