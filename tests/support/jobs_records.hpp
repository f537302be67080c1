// Helpers that build and fold the records of a partition's stream.
#pragma once

#include <tamarackglade/jobs/job_submission.hpp>
#include <tamarackglade/jobs/partition_claim.hpp>
#include <tamarackglade/jobs/partition_fold.hpp>

#include <string>

namespace tamarack::test {

/// A fold together with its log; offsets start at 1.
struct folded_stream
{
    partition_fold fold{partition_id(0)};
    std::vector<schema::log_batch_message> batches;

    folded_stream() = default;
    explicit folded_stream(jobs_mutation mutation) : fold(partition_id(0), mutation) { }

    fold_changes append(const schema::log_batch_message &batch)
    {
        batches.push_back(batch);
        return fold.apply(log_offset(batches.size()), batch);
    }

    template <class Message>
    fold_changes appendRecord(Message message)
    {
        schema::log_batch_message batch;
        batch.record_id = "record:" + std::to_string(batches.size());
        addRecord(batch, std::move(message));
        return append(batch);
    }

    fold_changes claim(std::uint64_t next, const std::string &vm = "vm")
    {
        return append(
            claimBatch({partition_id(0), epoch_number(next), vm_id(vm), incarnation_number(1)}));
    }

    /// Appends a file of short lines, two per chunk.
    void file(const std::string &id, std::uint32_t lines, const std::string &customer = "c")
    {
        submission_limits limits;
        limits.chunkBytes = 6;
        std::string content;
        for (std::uint32_t line = 0; line < lines; ++line)
            content += std::to_string(line % 10) + "x\n";
        const auto chunks = fileBatches(file_id(id), customer_id(customer), "in", content, limits);
        for (const auto &batch : *chunks)
            append(batch);
    }

    static job_request request(const std::string &id, const std::string &file, std::uint32_t items,
                               std::uint64_t digest, const std::string &customer = "c",
                               std::uint32_t windowS = 60)
    {
        return {job_id(id),
                customer_id(customer),
                digest,
                file_id(file),
                schema::job_endpoint::ChatCompletions,
                model_id("m"),
                items,
                1000,
                windowS,
                {}};
    }

    fold_changes accept(const std::string &id, const std::string &file, std::uint32_t items,
                        std::uint64_t digest)
    {
        return append(acceptBatch(request(id, file, items, digest)));
    }

    static schema::item_result_message resultRecord(const std::string &job, std::uint32_t item,
                                                    std::uint64_t epoch, char data = 'a')
    {
        schema::item_result_message message;
        message.job_id = job;
        message.item = item;
        message.epoch = epoch;
        message.data = {static_cast<std::uint8_t>(data)};
        return message;
    }

    fold_changes result(const std::string &job, std::uint32_t item, std::uint64_t epoch,
                        char data = 'a')
    {
        return appendRecord(resultRecord(job, item, epoch, data));
    }

    fold_changes expire(const std::string &job, std::uint64_t epoch)
    {
        schema::job_expired_message message;
        message.job_id = job;
        message.epoch = epoch;
        return appendRecord(std::move(message));
    }

    [[nodiscard]] const batch_job *job(const std::string &id) const { return fold.job(job_id(id)); }
};

} // namespace tamarack::test
