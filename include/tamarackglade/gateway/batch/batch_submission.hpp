// Submission of one batch job to the store.
#pragma once

#include <tamarackglade/gateway/batch/batch_partition.hpp>
#include <tamarackglade/gateway/batch/content_store.hpp>
#include <tamarackglade/schema/batches_generated.h>

#include <boost/fiber/future/future.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace tamarack {

enum class submission_outcome {
    Accepted, // the job is in the store
    OverLimit, // too many tokens are waiting; the job is not and never will be in the store
    NotStored, // the store failed; the job is not and never will be in the store
    Unknown // the store did not confirm or reject the job in time
};

/// @brief Stores the contents of a job's items, then the record that accepts the job.
///
/// The record is appended only at the partition end that the limit was checked against, so that two
/// gateways can't both accept the last job that fits. The contents are stored while the fold is
/// brought up to date.
class batch_submission
{
public:
    /// @param record acceptance record of the job, without its items
    /// @param waitingTokenLimit maximum waiting tokens of the customer on the route; 0 for no limit
    batch_submission(batch_partition &partition, content_store &contents,
                     schema::batch_accepted_message record,
                     std::vector<schema::batch_item_message> items,
                     std::uint64_t waitingTokenLimit);

    /// @brief Retries until the outcome is known or the deadline passes. Call once.
    submission_outcome store(time_point deadline);

    [[nodiscard]] std::uint64_t tokens() const { return m_tokens; }
    [[nodiscard]] std::size_t itemCount() const { return m_record.items.size(); }

private:
    using content_upload = boost::fibers::future<std::optional<std::vector<content_place>>>;

    [[nodiscard]] bool accepted() const;
    [[nodiscard]] bool exceedsLimit() const;
    void startUpload(time_point deadline);
    /// @brief Waits for the upload and writes the contents' places into the record.
    /// @return false if the contents were not stored
    bool addContentPlaces();
    void appendRecord();

    batch_partition &m_partition;
    content_store &m_contents;
    schema::batch_accepted_message m_record;
    const std::vector<schema::batch_item_message> m_items;
    const std::uint64_t m_waitingTokenLimit;
    std::uint64_t m_tokens = 0; // of all items
    content_upload m_upload; // valid until addContentPlaces reads its result
    bool m_contentsStored = false;
    // An append had no answer. The job is not refused until the fold shows whether it took effect.
    bool m_appendUnknown = false;
    stream_position m_unknownAppendEnd; // end of the fold at that append; valid if m_appendUnknown
    bool m_accepted = false; // an append of this submission was confirmed
};

} // namespace tamarack
