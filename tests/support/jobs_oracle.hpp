// Test oracle: a simple reference implementation of the meaning of the log records.
#pragma once

#include "support/jobs_fake_log.hpp"
#include <tamarackglade/jobs/item_key.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace tamarack::test {

/// Applies every record ever written, in order, and keeps all state. It uses no references,
/// snapshots, copies or windows of record ids.
class jobs_oracle
{
public:
    struct expected_job
    {
        std::string customer;
        std::uint64_t digest = 0;
        std::string file;
        std::uint32_t items = 0;
        bool removed = false;
        std::optional<time_point> cancelledAt;
        std::map<std::uint32_t, std::string> results;

        [[nodiscard]] bool isEnded() const { return cancelledAt || results.size() == items; }
    };
    struct expected_file
    {
        std::uint32_t chunks = 0;
        std::map<std::uint32_t, std::uint32_t> lines;
    };

    std::uint64_t epoch = 0;
    std::map<std::string, expected_job> jobs;
    std::map<std::string, expected_file> files;
    std::set<std::string> recordIds;

    void apply(const jobs_fake_log::record &written)
    {
        const auto &batch = written.batch;
        if (!recordIds.insert(batch.record_id).second || batch.reappended_from != 0)
            return;
        for (const auto &record : batch.records) {
            const auto &body = record->body;
            if (const auto *claim = body.Aspartition_claimed())
                epoch = claim->epoch == epoch + 1 ? claim->epoch : epoch;
            else if (const auto *chunk = body.Asfile_chunk())
                applyChunk(*chunk);
            else if (const auto *accepted = body.Asjob_accepted())
                applyAccepted(*accepted);
            else if (const auto *cancelled = body.Asjob_cancelled())
                applyCancelled(cancelled->job_id, written.writtenAt);
            else if (const auto *result = body.Asitem_result())
                applyResult(*result);
            else if (const auto *expired = body.Asjob_expired())
                applyExpired(*expired);
            else if (const auto *unused = body.Asfile_expired())
                applyFileExpired(*unused);
        }
    }

private:
    void applyChunk(const schema::file_chunk_message &chunk)
    {
        auto &file = files[chunk.file_id];
        file.chunks = chunk.chunk_count;
        file.lines.emplace(chunk.chunk, chunk.line_count);
    }

    void applyAccepted(const schema::job_accepted_message &accepted)
    {
        for (const auto &[id, job] : jobs) {
            const bool isSame = job.customer == accepted.customer
                                && job.digest == accepted.idempotency_digest && !job.removed;
            if (isSame || id == accepted.job_id)
                return;
        }
        const auto file = files.find(accepted.input_file_id);
        if (file == files.end() || file->second.lines.size() != file->second.chunks)
            return;
        std::uint32_t lines = 0;
        for (const auto &[chunk, count] : file->second.lines)
            lines += count;
        if (lines != accepted.item_count)
            return;
        jobs[accepted.job_id] = {accepted.customer,
                                 accepted.idempotency_digest,
                                 accepted.input_file_id,
                                 lines,
                                 false,
                                 {},
                                 {}};
    }

    void applyCancelled(const std::string &id, time_point at)
    {
        const auto found = jobs.find(id);
        if (found != jobs.end() && !found->second.isEnded())
            found->second.cancelledAt = at;
    }

    void applyResult(const schema::item_result_message &result)
    {
        const auto found = jobs.find(result.job_id);
        const bool counts = found != jobs.end() && !found->second.removed
                            && !found->second.cancelledAt && result.epoch == epoch
                            && result.item < found->second.items;
        if (counts)
            found->second.results.emplace(result.item,
                                          std::string(result.data.begin(), result.data.end()));
    }

    void applyExpired(const schema::job_expired_message &expired)
    {
        const auto found = jobs.find(expired.job_id);
        const bool counts = found != jobs.end() && !found->second.removed && found->second.isEnded()
                            && expired.epoch == epoch;
        if (!counts)
            return;
        found->second.removed = true;
        if (!isUsed(found->second.file))
            files.erase(found->second.file);
    }

    void applyFileExpired(const schema::file_expired_message &expired)
    {
        if (expired.epoch == epoch && !isUsed(expired.file_id))
            files.erase(expired.file_id);
    }

    [[nodiscard]] bool isUsed(const std::string &file) const
    {
        for (const auto &[id, job] : jobs) {
            if (job.file == file && !job.removed)
                return true;
        }
        return false;
    }
};

} // namespace tamarack::test
