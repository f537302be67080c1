// Measures batch jobs with the real fold and owner, and with a minimal log and side.
#include <tamarackglade/jobs/job_submission.hpp>
#include <tamarackglade/jobs/partition_claim.hpp>
#include <tamarackglade/jobs/partition_owner.hpp>
#include <tamarackglade/jobs/partition_snapshot.hpp>
#include <tamarackglade/report/job_measurement.hpp>

#include <algorithm>
#include <limits>

namespace tamarack {

namespace {

constexpr std::uint64_t StartS = 1'800'000'000;
constexpr std::uint32_t Credits = 256;
const upstream_id Upstream("u");
const model_id Model("m");

std::string inputContent(std::uint32_t items)
{
    std::string content;
    for (std::uint32_t item = 0; item < items; ++item)
        content += R"({"custom_id":"route-)" + std::to_string(item)
                   + R"(","method":"POST","url":"/v1/chat/completions","body":{"model":"m"}})"
                   + "\n";
    return content;
}

/// @brief A partition that this VM owns, with one accepted job.
struct job_fixture
{
    explicit job_fixture(std::uint32_t items) : fold(partition_id(0))
    {
        const file_id file("file-1");
        const customer_id customer("c");
        const auto batches = fileBatches(file, customer, "in.jsonl", inputContent(items), {});
        fold_changes ignored;
        appendAndFold(
            claimBatch({partition_id(0), epoch_number(1), vm_id("vm"), incarnation_number(1)}));
        for (const auto &batch : *batches) {
            inputBytes += encodeBatch(batch).size();
            appendAndFold(batch);
        }
        const auto endpoint = schema::job_endpoint::ChatCompletions;
        const job_request request{job_id("job-1"), customer, 1,      file,  endpoint,
                                  Model,           items,    StartS, 86400, {}};
        appendAndFold(acceptBatch(request));
    }

    fold_changes appendAndFold(const schema::log_batch_message &batch)
    {
        offset = log_offset(offset.value() + 1);
        return fold.apply(offset, batch);
    }

    log_offset offset{0};
    partition_fold fold;
    std::size_t inputBytes = 0;
};

owner_options openOptions()
{
    owner_options options;
    options.maxUncommitted = std::numeric_limits<std::uint32_t>::max();
    options.maxUncommittedBytes = std::numeric_limits<std::size_t>::max();
    return options;
}

/// @brief Answers every started item immediately.
/// @return the batches to append
std::vector<schema::log_batch_message> answerAll(partition_owner &owner, owner_actions actions,
                                                 std::size_t answerBytes, time_point now)
{
    std::vector<schema::log_batch_message> batches;
    while (!actions.empty()) {
        owner_actions following;
        for (auto &action : actions) {
            if (const auto *start = std::get_if<start_item>(&action))
                owner.onAttemptResult(start->attempt, attempt_outcome::Succeeded,
                                      std::vector<std::uint8_t>(answerBytes, 'a'), "route", now,
                                      following);
            else if (auto *append = std::get_if<append_batch>(&action))
                batches.push_back(std::move(append->batch));
        }
        actions = std::move(following);
    }
    return batches;
}

} // namespace

job_cost measureJob(std::uint32_t items, std::size_t answerBytes, const measurement_hooks &hooks)
{
    const auto heapBefore = hooks.heapBytes();
    job_fixture fixture(items);
    job_cost cost;
    cost.items = items;
    cost.inputLogBytesPerItem = static_cast<double>(fixture.inputBytes) / items;
    duration foldTime{};
    duration ownerTime{};
    std::size_t logBytes = 0;
    {
        time_point now{std::chrono::seconds(1)};
        partition_owner owner(fixture.fold, openOptions(), now);
        while (fixture.fold.job(job_id("job-1"))->openCount() > 0) {
            now += std::chrono::milliseconds(250);
            auto mark = hooks.clock();
            owner_actions actions;
            owner.onTailConfirmed(now, actions);
            owner.onCredits(Upstream, Model, Credits, now, actions);
            const auto batches = answerAll(owner, std::move(actions), answerBytes, now);
            ownerTime += hooks.clock() - mark;
            for (const auto &batch : batches) {
                logBytes += encodeBatch(batch).size();
                mark = hooks.clock();
                const auto changes = fixture.appendAndFold(batch);
                foldTime += hooks.clock() - mark;
                owner_actions following;
                owner.onFolded(changes, now, following);
            }
        }
    }
    cost.foldNsPerResult = static_cast<double>(foldTime.count()) / items;
    cost.ownerNsPerItem = static_cast<double>(ownerTime.count()) / items;
    cost.logBytesPerItem = static_cast<double>(logBytes) / items - static_cast<double>(answerBytes);
    cost.foldHeapBytesPerItem = static_cast<double>(hooks.heapBytes() - heapBefore) / items;
    cost.snapshotBytesPerItem =
        static_cast<double>(encodeState(fixture.fold.snapshot()).size()) / items;
    return cost;
}

group_commit_cost measureCommit(std::uint32_t itemsPerSecond, std::size_t answerBytes,
                                duration appendTime)
{
    constexpr auto Step = std::chrono::milliseconds(10);
    constexpr std::uint32_t Seconds = 10;
    job_fixture fixture(itemsPerSecond * Seconds);
    time_point now{std::chrono::seconds(1)};
    const auto end = now + std::chrono::seconds(Seconds);
    partition_owner owner(fixture.fold, openOptions(), now);
    std::vector<std::pair<time_point, schema::log_batch_message>> pendingAppends;
    group_commit_cost cost{itemsPerSecond, 0, 0};
    std::uint32_t offered = 0;
    std::uint32_t appends = 0;
    for (double due = 0; now < end; now += Step) {
        due += itemsPerSecond * toSeconds(Step);
        owner_actions actions;
        owner.onTailConfirmed(now, actions);
        owner.tick(now, StartS, actions);
        if (!pendingAppends.empty() && pendingAppends.front().first <= now) {
            const auto changes = fixture.appendAndFold(pendingAppends.front().second);
            pendingAppends.erase(pendingAppends.begin());
            owner.onFolded(changes, now, actions);
        }
        const auto count = static_cast<std::uint32_t>(due) - offered;
        offered += count;
        owner.onCredits(Upstream, Model, count, now, actions);
        for (auto &batch : answerAll(owner, std::move(actions), answerBytes, now)) {
            ++appends;
            cost.largestBatchItems =
                std::max(cost.largestBatchItems, static_cast<double>(batch.records.size()));
            pendingAppends.emplace_back(now + appendTime, std::move(batch));
        }
    }
    cost.appendsPerSecond = static_cast<double>(appends) / Seconds;
    return cost;
}

} // namespace tamarack
