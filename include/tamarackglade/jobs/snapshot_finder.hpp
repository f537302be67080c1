// Finds the snapshot from which a reader that starts past the first record can fold.
#pragma once

#include <tamarackglade/jobs/partition_fold.hpp>
#include <tamarackglade/jobs/partition_snapshot.hpp>

#include <map>

namespace tamarack {

/// @brief The first of a new reader's two passes over the retained stream.
/// Scan every retained batch up to the end, then ask for start(): it gives a fold, and the
/// second pass applies the batches after fold.position().
class snapshot_finder
{
public:
    /// @param firstRetained the first offset that the log still holds, 1 if it holds all
    snapshot_finder(partition_id partition, log_offset firstRetained,
                    jobs_mutation mutation = jobs_mutation::None);

    /// @brief Looks at one batch; offsets must grow.
    void scan(const schema::log_batch_message &batch);

    /// @return the fold to go on with: empty if the log holds all, else the newest usable
    /// snapshot. DataLoss if records fell out of the log and no snapshot covers them.
    [[nodiscard]] absl::StatusOr<partition_fold> start() const;

private:
    struct candidate
    {
        log_offset asOf{0};
        std::vector<std::string> parts;
        std::uint32_t missing = 0;
    };

    void addPart(const schema::snapshot_part_message &part);

    partition_id m_partition;
    log_offset m_firstRetained;
    jobs_mutation m_mutation;
    std::map<std::string, candidate> m_candidates; // by snapshot id; only usable ones
    // Invariant: the newest complete snapshot's state, empty if there is none.
    log_offset m_bestAsOf{0};
    std::string m_bestBytes;
};

} // namespace tamarack
