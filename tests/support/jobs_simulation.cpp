// Simulated fleet for tests of batch jobs.
#include "support/jobs_simulation.hpp"

#include <tamarackglade/jobs/attempt_name.hpp>
#include <tamarackglade/jobs/partition_snapshot.hpp>

#include <algorithm>

namespace tamarack::test {

using namespace std::chrono_literals;

namespace {

const model_id Model("m");

owner_options ownerOptions(jobs_mutation mutation)
{
    owner_options options;
    options.attemptTimeout = 6s;
    options.resultRetentionS = 200;
    options.unusedFileRetentionS = 60;
    options.mutation = mutation;
    return options;
}

std::string lineOf(const schema::file_chunk_message &chunk, std::uint32_t index)
{
    std::string text(chunk.data.begin(), chunk.data.end());
    std::size_t from = 0;
    for (; index > 0; --index)
        from = text.find('\n', from) + 1;
    return text.substr(from, text.find('\n', from) - from);
}

} // namespace

jobs_simulation::jobs_simulation(std::uint64_t seed, std::size_t entryCount, jobs_mutation mutation)
    : log(seed), m_mutation(mutation)
{
    log.onWritten = [this](log_offset, const jobs_fake_log::record &written) {
        oracle.apply(written);
    };
    for (std::size_t index = 0; index < entryCount; ++index) {
        entries.emplace_back();
        entries.back().vm = vm_id("e" + std::to_string(index));
    }
    for (std::size_t index = 0; index < 3; ++index)
        sides.emplace_back("u" + std::to_string(index), seed + index);
}

void jobs_simulation::addViolation(const std::string &text)
{
    violations.push_back(std::to_string(toSeconds(m_now.time_since_epoch())) + " s: " + text);
}

std::string jobs_simulation::content(std::size_t items, const std::string &tag,
                                     const std::map<std::size_t, std::string> &flags)
{
    std::string text;
    for (std::size_t index = 0; index < items; ++index) {
        const auto flag = flags.find(index);
        text += R"({"custom_id":"i)" + std::to_string(index)
                + R"(","method":"POST","url":"/v1/chat/completions","body":{"model":"m","tag":")"
                + tag + R"(","flag":")" + (flag == flags.end() ? "" : flag->second) + "\"}}\n";
    }
    return text;
}

void jobs_simulation::submit(std::size_t entry, const std::string &customer,
                             const std::string &content, const std::string &key,
                             bool killAfterwards)
{
    auto &target = entries.at(entry);
    if (!target.isRunning(m_now) || !target.fold)
        return;
    auto &submission = target.submissions.emplace_back();
    submission.customer = customer;
    submission.key = key;
    submission.content = content;
    submission.killAfterwards = killAfterwards;
    submission.file = file_id("file-" + std::to_string(++m_lastId));
    submission_limits limits;
    limits.chunkBytes = 512;
    const auto batches =
        fileBatches(submission.file, customer_id(customer), "in.jsonl", content, limits);
    for (const auto &batch : *batches)
        submission.uploads.push(batch);
}

void jobs_simulation::cancel(const std::string &job)
{
    const auto batch = cancelBatch(job_id(job), std::to_string(++m_lastId), wallS());
    log.append(m_now, batch, [](append_outcome) {});
}

bool jobs_simulation::isFoldedFurthest(const simulation_entry &entry) const
{
    return std::none_of(entries.begin(), entries.end(), [&](const simulation_entry &other) {
        return other.isRunning(m_now) && other.fold
               && other.fold->position() > entry.fold->position();
    });
}

bool jobs_simulation::isAnotherRunning(std::size_t entry) const
{
    for (std::size_t index = 0; index < entries.size(); ++index) {
        if (index != entry && entries[index].isRunning(m_now))
            return true;
    }
    return false;
}

void jobs_simulation::appendStrayResult(std::uint64_t choice)
{
    std::vector<std::string> present;
    for (const auto &[id, job] : oracle.jobs) {
        if (!job.removed)
            present.push_back(id);
    }
    if (present.empty())
        return;
    const auto &id = present[choice % present.size()];
    schema::item_result_message result;
    result.job_id = id;
    result.item = static_cast<std::uint32_t>(choice % oracle.jobs.at(id).items);
    result.epoch = oracle.epoch - choice % 2;
    result.data = {'s', 't', 'r', 'a', 'y'};
    schema::log_batch_message batch;
    batch.record_id = "stray:" + std::to_string(++m_lastId);
    addRecord(batch, std::move(result));
    log.write(m_now, std::move(batch));
}

void jobs_simulation::repeatBatch(std::uint64_t choice)
{
    if (log.tail().value() > 0)
        log.write(m_now, log.at(log_offset(1 + choice % log.tail().value())).batch);
}

void jobs_simulation::kill(std::size_t entry, duration downtime)
{
    auto &target = entries.at(entry);
    if (!isAnotherRunning(entry))
        return;
    target.reset();
    target.pausedUntil = {};
    target.restartAt = m_now + downtime;
    target.incarnation = incarnation_number(target.incarnation.value() + 1);
}

void jobs_simulation::pause(std::size_t entry, duration time)
{
    if (isAnotherRunning(entry))
        entries.at(entry).pausedUntil = m_now + time;
}

void jobs_simulation::crashSide(std::size_t side)
{
    sides.at(side).crash(m_now, [&](const auto &run, auto outcome, const auto &data) {
        deliver(run, outcome, data);
    });
}

void jobs_simulation::run(duration time)
{
    for (const auto end = m_now + time; m_now < end;)
        step();
}

void jobs_simulation::step()
{
    m_now += Step;
    log.advance(m_now);
    for (auto &side : sides) {
        side.advance(m_now, [&](const auto &run, auto outcome, const auto &data) {
            if (run.line.find("poison") != std::string::npos)
                ++crashesOfItem[run.start.item.job.value() + ":"
                                + std::to_string(run.start.item.item.value())];
            deliver(run, outcome, data);
        });
    }
    for (std::size_t index = 0; index < entries.size(); ++index) {
        if (entries[index].isRunning(m_now))
            stepEntry(index);
    }
    offerCredits();
}

std::vector<live_vm> jobs_simulation::liveVms() const
{
    std::vector<live_vm> vms;
    for (const auto &entry : entries) {
        if (entry.isAlive(m_now))
            vms.push_back({entry.vm, entry.incarnation, false});
    }
    return vms;
}

void jobs_simulation::stepEntry(std::size_t index)
{
    auto &entry = entries[index];
    if (!entry.policy)
        entry.policy = std::make_unique<claim_policy>(m_partition, entry.vm, entry.incarnation);
    if (log.isUp(m_now))
        readLog(index);
    if (!entry.fold)
        return;
    updateOwnership(index);
    entry.policy->onLiveVms(liveVms());
    for (const auto &other : entries) {
        if (other.vm == entry.fold->ownerVm() && other.isRunning(m_now))
            entry.policy->onOwnerAlive(m_now);
    }
    if (const auto claim = entry.policy->decide(*entry.fold, m_now))
        log.append(m_now, claimBatch(*claim), [](append_outcome) {});
    if (entry.owner)
        stepOwner(index);
    if (entry.owner)
        stepPlanner(index);
    stepSubmissions(index);
}

bool jobs_simulation::bootstrap(simulation_entry &entry)
{
    snapshot_finder finder(m_partition, log.firstRetained(), m_mutation);
    for (auto offset = log.firstRetained(); offset <= log.tail();
         offset = log_offset(offset.value() + 1))
        finder.scan(log.at(offset).batch);
    auto fold = finder.start();
    if (!fold.ok()) {
        addViolation("a new reader found no usable snapshot");
        return false;
    }
    entry.fold = std::make_unique<partition_fold>(std::move(*fold));
    return true;
}

void jobs_simulation::readLog(std::size_t index)
{
    auto &entry = entries[index];
    const bool isBehind =
        entry.fold && entry.fold->position().value() + 1 < log.firstRetained().value();
    if (isBehind) {
        const auto policy = std::move(entry.policy);
        entry.reset();
        entry.policy = std::make_unique<claim_policy>(m_partition, entry.vm, entry.incarnation);
    }
    if (!entry.fold && !bootstrap(entry))
        return;
    while (entry.fold->position() < log.tail()) {
        const log_offset next(entry.fold->position().value() + 1);
        const auto changes = entry.fold->apply(next, log.at(next).batch);
        for (const auto &job : changes.jobsCancelled)
            cancelFoldedAt.try_emplace(job.value(), m_now);
        for (auto &submission : entry.submissions) {
            submission.uploads.onFolded(changes.recordId);
            if (submission.tracker)
                submission.tracker->onFolded(changes);
        }
        if (entry.owner) {
            owner_actions actions;
            entry.owner->onFolded(changes, m_now, actions);
            perform(index, actions);
        }
    }
}

void jobs_simulation::updateOwnership(std::size_t index)
{
    auto &entry = entries[index];
    if (entry.owner && !entry.owner->isOwner()) {
        entry.owner.reset();
        entry.planner.reset();
    }
    const bool isOwner =
        entry.fold->ownerVm() == entry.vm && entry.fold->ownerIncarnation() == entry.incarnation;
    if (!isOwner || entry.owner)
        return;
    retention_options retention;
    retention.snapshotPartBytes = 400;
    retention.mutation = m_mutation;
    retention.maxAppendsPerSecond = 20;
    entry.owner = std::make_unique<partition_owner>(*entry.fold, ownerOptions(m_mutation), m_now);
    entry.planner =
        std::make_unique<retention_planner>(*entry.fold, retention, log.firstRetained());
}

void jobs_simulation::stepOwner(std::size_t index)
{
    owner_actions actions;
    auto &owner = *entries[index].owner;
    if (log.isUp(m_now))
        owner.onTailConfirmed(m_now, actions);
    else if (isFoldedFurthest(entries[index]))
        owner.onOutageConfirmed(m_now, actions);
    owner.tick(m_now, wallS(), actions);
    perform(index, actions);
}

void jobs_simulation::stepPlanner(std::size_t index)
{
    auto &entry = entries[index];
    auto horizon = log.firstRetained();
    while (horizon <= log.tail() && m_now - log.at(horizon).writtenAt > log.retention / 2)
        horizon = log_offset(horizon.value() + 1);
    if (log.firstRetained().value() > 1 || horizon.value() > 1)
        entry.planner->setHorizon(horizon);
    for (int budget = 50; budget > 0 && !entry.owner->hasQueuedAppends(); --budget) {
        auto action = entry.planner->next(m_now);
        if (!action)
            return;
        if (const auto *read = std::get_if<retention_planner::read_batch>(&*action)) {
            if (read->offset < log.firstRetained())
                entry.planner->onBatchMissing(read->offset);
            else
                entry.planner->onBatchRead(read->offset, log.at(read->offset).batch);
            continue;
        }
        owner_actions actions;
        auto &copy = std::get<retention_planner::append_copy>(*action);
        entry.owner->enqueue(std::move(copy.batch), m_now, actions);
        perform(index, actions);
    }
}

void jobs_simulation::stepSubmissions(std::size_t index)
{
    auto &entry = entries[index];
    for (auto &submission : entry.submissions) {
        if (auto batch = submission.uploads.next(m_now))
            log.append(m_now, *batch, [](append_outcome) {});
        const auto *file = entry.fold->file(submission.file);
        if (!submission.tracker && file && file->isComplete()) {
            const auto endpoint = schema::job_endpoint::ChatCompletions;
            const job_request request{job_id("job-" + std::to_string(++m_lastId)),
                                      customer_id(submission.customer),
                                      idempotencyDigest(submission.key, *file, endpoint),
                                      submission.file,
                                      endpoint,
                                      Model,
                                      file->lineCount(),
                                      wallS(),
                                      60,
                                      {}};
            submission.tracker.emplace(*entry.fold, request, submission_tracker::timing{}, m_now);
        }
        if (!submission.tracker)
            continue;
        submission.tracker->tick(m_now);
        if (auto batch = submission.tracker->next(m_now)) {
            const auto incarnation = entry.incarnation;
            const auto sent = submission.file;
            log.append(m_now, *batch, [this, index, incarnation, sent](append_outcome outcome) {
                auto &sender = entries[index];
                for (auto &waiting : sender.submissions) {
                    const bool isSender = sender.incarnation == incarnation && waiting.file == sent
                                          && sender.isRunning(m_now) && waiting.tracker;
                    if (isSender)
                        waiting.tracker->onAppendResult(outcome, m_now);
                }
            });
        }
    }
    for (auto &submission : entry.submissions) {
        const bool isAnswered =
            submission.tracker && submission.tracker->outcome().state != submission_state::Waiting;
        if (isAnswered && !submission.isDone)
            finishSubmission(index, submission);
        if (entry.submissions.empty())
            return; // the entry was lost
    }
    entry.submissions.remove_if([](const auto &submission) { return submission.isDone; });
}

void jobs_simulation::finishSubmission(std::size_t index, simulation_submission &submission)
{
    submission.isDone = true;
    const auto &outcome = submission.tracker->outcome();
    const auto &request = submission.tracker->request();
    if (outcome.state == submission_state::NotWritten)
        m_notWritten.push_back(acceptBatch(request).record_id);
    const bool isJob =
        outcome.state == submission_state::Accepted || outcome.state == submission_state::Existing;
    if (!isJob)
        return;
    if (!oracle.jobs.contains(outcome.job.value()))
        addViolation("a job was acknowledged but not accepted: " + outcome.job.value());
    auto &ids =
        acknowledged[request.customer.value() + "/" + std::to_string(request.idempotencyDigest)];
    for (const auto &id : ids) {
        if (id != outcome.job.value() && !oracle.jobs.at(id).removed)
            addViolation("a resend returned another job: " + id + " and " + outcome.job.value());
    }
    ids.insert(outcome.job.value());
    if (submission.killAfterwards)
        kill(index, 5s);
}

void jobs_simulation::perform(std::size_t index, const owner_actions &actions)
{
    for (const auto &action : actions) {
        if (const auto *start = std::get_if<start_item>(&action))
            startItem(index, *start);
        else if (const auto *cancel = std::get_if<cancel_attempt>(&action))
            cancelAttempt(*cancel);
        else if (const auto *append = std::get_if<append_batch>(&action)) {
            const auto recordId = append->batch.record_id;
            const auto incarnation = entries[index].incarnation;
            log.append(m_now, append->batch, [this, index, incarnation, recordId](auto outcome) {
                auto &sender = entries[index];
                if (sender.incarnation != incarnation || !sender.isRunning(m_now) || !sender.owner)
                    return;
                owner_actions following;
                sender.owner->onAppendResult(recordId, outcome, m_now, following);
                perform(index, following);
            });
        }
    }
}

std::string jobs_simulation::payload(const record_reference &reference)
{
    if (reference.offset() < log.firstRetained()) {
        addViolation("a payload that is still needed is no longer in the log");
        return {};
    }
    const auto &record = log.at(reference.offset()).batch.records.at(reference.index());
    if (const auto *result = record->body.Asitem_result())
        return {result->data.begin(), result->data.end()};
    addViolation("a reference does not point to a result");
    return {};
}

void jobs_simulation::startItem(std::size_t index, const start_item &start)
{
    ++startedAttempts;
    const auto folded = cancelFoldedAt.find(start.item.job.value());
    if (folded != cancelFoldedAt.end() && m_now > folded->second + 5s)
        addViolation("started an item of a job whose cancel was folded over 5 s ago");
    if (start.input.chunk.offset() < log.firstRetained()) {
        addViolation("an input that is still needed is no longer in the log");
        return;
    }
    const auto &record =
        log.at(start.input.chunk.offset()).batch.records.at(start.input.chunk.index());
    const auto line = lineOf(*record->body.Asfile_chunk(), start.input.line);
    const auto customId = R"("custom_id":"i)" + std::to_string(start.item.item.value()) + "\"";
    if (line.find(customId) == std::string::npos)
        addViolation("the input of an item is the line of another item");
    for (auto &side : sides) {
        if (side.id == start.upstream)
            side.start(m_now, {start, line, index, {}});
    }
}

void jobs_simulation::cancelAttempt(const cancel_attempt &cancel)
{
    for (auto &side : sides) {
        if (side.id == cancel.upstream)
            side.cancel(cancel.attempt);
    }
}

void jobs_simulation::offerCredits()
{
    for (std::size_t index = 0; index < entries.size(); ++index) {
        for (auto &side : sides) {
            auto &entry = entries[index];
            if (!entry.isRunning(m_now) || !entry.owner)
                continue;
            owner_actions actions;
            entry.owner->onCredits(side.id, Model, side.credits(m_now), m_now, actions);
            perform(index, actions);
        }
    }
}

void jobs_simulation::deliver(const jobs_fake_side::attempt_run &run, attempt_outcome outcome,
                              const std::string &data)
{
    auto &entry = entries[run.entry];
    if (!entry.isRunning(m_now) || !entry.owner)
        return;
    owner_actions actions;
    entry.owner->onAttemptResult(run.start.attempt, outcome, {data.begin(), data.end()}, "i", m_now,
                                 actions);
    perform(run.entry, actions);
}

void jobs_simulation::check()
{
    for (const auto &entry : entries) {
        if (entry.isRunning(m_now) && entry.fold && entry.fold->position() == log.tail())
            checkEntry(entry);
    }
    for (const auto &recordId : m_notWritten) {
        if (oracle.recordIds.contains(recordId))
            addViolation("a job was reported as not written but is in the log");
    }
}

void jobs_simulation::checkEntry(const simulation_entry &entry)
{
    const auto &fold = *entry.fold;
    if (fold.currentEpoch().value() != oracle.epoch)
        addViolation("the epoch differs from the oracle");
    std::size_t present = 0;
    for (const auto &[id, job] : oracle.jobs) {
        present += job.removed ? 0 : 1;
        if (!job.removed)
            checkJob(fold, id, job);
    }
    if (present != fold.jobs().size())
        addViolation("a reader has jobs that were not accepted or have expired");
}

void jobs_simulation::checkJob(const partition_fold &fold, const std::string &id,
                               const jobs_oracle::expected_job &expected)
{
    const auto *job = fold.job(job_id(id));
    if (!job) {
        addViolation("a reader is missing job " + id);
        return;
    }
    if (job->cancelled != expected.cancelledAt.has_value())
        addViolation("the cancelled flag differs from the oracle for job " + id);
    for (std::uint32_t item = 0; item < expected.items; ++item) {
        const auto result = expected.results.find(item);
        const auto &reference = job->results.at(item);
        if (reference.isSet() != (result != expected.results.end()))
            addViolation("an item of " + id
                         + " has a result only in the fold or only in the oracle");
        else if (reference.isSet() && payload(reference) != result->second)
            addViolation("an item of " + id + " has another result than in the oracle");
    }
}

void jobs_simulation::checkLateReader()
{
    simulation_entry late;
    if (!bootstrap(late))
        return;
    partition_fold whole(m_partition, m_mutation);
    for (std::uint64_t offset = 1; offset <= log.tail().value(); ++offset) {
        const auto &batch = log.at(log_offset(offset)).batch;
        whole.apply(log_offset(offset), batch);
        if (offset > late.fold->position().value())
            late.fold->apply(log_offset(offset), batch);
    }
    if (encodeState(whole.snapshot()) != encodeState(late.fold->snapshot()))
        addViolation("a reader that starts at the first retained offset folds another state");
    checkEntry(late);
}

std::vector<std::string> jobs_simulation::openJobs() const
{
    std::vector<std::string> open;
    for (const auto &[id, job] : oracle.jobs) {
        if (!job.isEnded() && !job.removed)
            open.push_back(id);
    }
    return open;
}

std::size_t jobs_simulation::ownerIndex() const
{
    for (std::size_t index = 0; index < entries.size(); ++index) {
        if (entries[index].isRunning(m_now) && entries[index].owner)
            return index;
    }
    return entries.size();
}

void jobs_simulation::recover()
{
    log.downUntil = log.slowUntil = log.answersLostUntil = {};
    for (auto &entry : entries)
        entry.restartAt = entry.pausedUntil = std::min(m_now, entry.restartAt);
    for (auto &side : sides)
        side.loseUntil = side.repeatUntil = side.delayUntil = side.failUntil = {};
    run(30s);
    for (const auto end = m_now + 300s; !openJobs().empty() && m_now < end;)
        step();
    run(1s);
    check();
    checkLateReader();
    for (const auto &id : openJobs())
        addViolation("job never ended: " + id);
}

} // namespace tamarack::test
