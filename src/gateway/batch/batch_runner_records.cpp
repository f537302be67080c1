// Stores the records of batch items that ended or failed.
#include <tamarackglade/batches/batch_codec.hpp>
#include <tamarackglade/gateway/batch/batch_runner.hpp>
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/runtime/boot_now.hpp>
#include <tamarackglade/runtime/random_bytes.hpp>

#include <boost/fiber/fiber.hpp>

#include <utility>

namespace tamarack {

namespace {

constexpr std::chrono::seconds RecordTimeout{20}; // for the append of an item's end or failure

} // namespace

void batch_runner::recordFinish(const item_work &work, bool abandoned, const std::string &reason)
{
    log_event(log_level::Info, abandoned ? "batch item abandoned" : "batch item done")
        .request(work.request.value())
        .with("job", work.key.batch.job.value())
        .with("failed_runs", work.failedRuns)
        .with("reason", reason);
    schema::item_finished_message record;
    m_store.partitionOf(work.key.batch.customer).fold().nameJob(record, work.key.batch);
    record.item = work.key.item.value();
    record.abandoned = abandoned;
    std::string output = abandoned ? std::string() : m_progress[work.key].text;
    appendAsync(work, "", [this, work, record, output = std::move(output)](time_point deadline) {
        return storeFinishedItem(work, record, output, deadline);
    });
}

durable_result batch_runner::storeFinishedItem(const item_work &work,
                                               schema::item_finished_message record,
                                               const std::string &output, time_point deadline)
{
    if (!output.empty()) {
        const auto places = m_store.contents().append(work.key.batch.customer, {output}, deadline);
        if (!places)
            return durable_result::NotStored;
        record.output = encodePlace(places->front());
    }
    return m_store.partitionOf(work.key.batch.customer)
        .append({encodeBatchRecord(std::move(record))}, deadline);
}

void batch_runner::recordFailure(const item_work &work, const upstream_id &upstream,
                                 unsigned status)
{
    log_event(log_level::Info, "batch item failed")
        .request(work.request.value())
        .upstream(upstream.value())
        .with("job", work.key.batch.job.value())
        .with("status", status)
        .with("failed_runs", work.failedRuns + 1);
    m_progress[work.key].restart();
    schema::item_failed_message record;
    m_store.partitionOf(work.key.batch.customer).fold().nameJob(record, work.key.batch);
    record.item = work.key.item.value();
    record.run = randomId("run_");
    record.upstream = upstream.value();
    const std::string run = record.run;
    appendAsync(work, run, [this, work, record](time_point deadline) {
        return m_store.partitionOf(work.key.batch.customer)
            .append({encodeBatchRecord(record)}, deadline);
    });
}

// The item is not started again until the fold contains the record or storing it has failed.
void batch_runner::appendAsync(const item_work &work, const std::string &failedRun,
                               std::function<durable_result(time_point deadline)> append)
{
    m_pendingRecords.insert_or_assign(work.key, failedRun);
    boost::fibers::fiber([this, work, append = std::move(append)] {
        if (append(bootNow() + RecordTimeout) == durable_result::Stored)
            return;
        log_event(log_level::Warning, "record of a batch item not stored")
            .request(work.request.value())
            .customer(work.key.batch.customer.value())
            .with("job", work.key.batch.job.value());
        m_pendingRecords.erase(work.key);
    }).detach();
}

} // namespace tamarack
