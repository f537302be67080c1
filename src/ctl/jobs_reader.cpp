// Scans a stream for its latest usable snapshot and folds the records after it.
#include <tamarackglade/core/partition.hpp>
#include <tamarackglade/ctl/config_reader.hpp>
#include <tamarackglade/ctl/jobs_reader.hpp>
#include <tamarackglade/ctl/read_stream.hpp>
#include <tamarackglade/jobs/snapshot_finder.hpp>
#include <tamarackglade/schema/records.hpp>

#include <algorithm>

namespace tamarack {

absl::StatusOr<partition_fold> readJobs(platform_client &platform, partition_id partition)
{
    const std::string stream = jobStreamName(partition);
    std::vector<std::pair<log_offset, schema::log_batch_message>> batches;
    const auto first = readStream(platform, stream, log_offset(1), [&](const log_entry &entry) {
        auto batch = decodeBatch(entry.payload);
        if (batch.ok())
            batches.emplace_back(entry.offset, std::move(*batch));
    });
    if (!first.ok())
        return first.status();
    snapshot_finder finder(partition, std::max(*first, log_offset(1)));
    for (const auto &[offset, batch] : batches)
        finder.scan(batch);
    auto fold = finder.start();
    if (!fold.ok())
        return fold.status();
    for (const auto &[offset, batch] : batches) {
        if (offset > fold->position())
            fold->apply(offset, batch);
    }
    return fold;
}

absl::StatusOr<std::vector<partition_fold>> readAllJobs(platform_client &platform)
{
    const auto config = readConfig(platform);
    if (!config.ok())
        return config.status();
    const auto state = config->state();
    if (!state->inForce)
        return absl::FailedPreconditionError("no manifest is in force");
    std::vector<partition_fold> folds;
    for (std::uint32_t i = 0; i < state->inForce->fleet.partitions; ++i) {
        auto fold = readJobs(platform, partition_id(i));
        if (!fold.ok())
            return fold.status();
        folds.push_back(std::move(*fold));
    }
    return folds;
}

} // namespace tamarack
