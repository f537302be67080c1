// Finds the newest usable snapshot for a reader of a log whose first records were removed.
#pragma once

#include <tamarackglade/jobs/partition_fold.hpp>
#include <tamarackglade/jobs/partition_snapshot.hpp>

#include <map>

namespace tamarack {

/// @brief The first of two passes of a new reader over the retained stream. Call scan() with every
/// retained batch, then start(). The second pass applies the batches after fold.position() to the
/// fold that start() returns.
class snapshot_finder
{
public:
    /// @param firstRetained the first offset that the log still holds; 1 if it holds all batches
    snapshot_finder(partition_id partition, log_offset firstRetained,
                    jobs_mutation mutation = jobs_mutation::None);

    /// @brief Collects the snapshot parts of a batch; offsets must increase.
    void scan(const schema::log_batch_message &batch);

    /// @return the fold of the newest usable snapshot, or an empty fold if there is none and the
    /// log holds all batches; DataLoss if batches were removed from the log and no snapshot covers
    /// them
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
    std::map<std::string, candidate> m_candidates; // by snapshot id; only usable snapshots
    // Offset and encoded state of the newest complete snapshot; the state is empty if there is
    // none.
    log_offset m_bestAsOf{0};
    std::string m_bestBytes;
};

} // namespace tamarack
