// The way of one job into the store.
#pragma once

#include <tamarackglade/gateway/batch_partition.hpp>
#include <tamarackglade/gateway/content_store.hpp>
#include <tamarackglade/schema/batches_generated.h>

#include <boost/fiber/future/future.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace tamarack {

enum class submission_outcome {
    Accepted, // the job is in the store
    OverLimit, // too many tokens wait; the job is not in the store and never will be
    NotStored, // the same, because the store didn't take it
    Unknown // the store didn't tell in time whether it took the job
};

/// @brief Stores the contents of a job's items, then the record that accepts the job.
///
/// The record goes to the end that the decision was made on, so that two gateways can't both accept
/// the last job that fits. The contents are stored while the fold is brought up to date.
class batch_submission
{
public:
    /// @param record of the job, without its items
    /// @param waitingTokenLimit tokens of the customer that may wait on the route; 0 for no limit
    batch_submission(batch_partition &partition, content_store &contents,
                     schema::batch_accepted_message record,
                     std::vector<schema::batch_item_message> items,
                     std::uint64_t waitingTokenLimit);

    /// @brief Tries until the outcome is known or the deadline passes. Call once.
    submission_outcome store(time_point deadline);

    [[nodiscard]] std::uint64_t tokens() const { return m_tokens; }
    [[nodiscard]] std::size_t itemCount() const { return m_record.items.size(); }

private:
    using content_upload = boost::fibers::future<std::optional<std::vector<content_place>>>;

    [[nodiscard]] bool accepted() const;
    [[nodiscard]] bool exceedsLimit() const;
    void startUpload(time_point deadline);
    /// @return whether the contents are stored, and their places are in the record
    bool addContentPlaces();
    void appendRecord();

    batch_partition &m_partition;
    content_store &m_contents;
    schema::batch_accepted_message m_record;
    const std::vector<schema::batch_item_message> m_items;
    const std::uint64_t m_waitingTokenLimit;
    std::uint64_t m_tokens = 0; // of all items
    content_upload m_upload; // valid while it runs
    bool m_contentsStored = false;
    // An append had no answer; nothing is refused until the fold shows whether it took effect.
    bool m_appendUnknown = false;
    stream_position m_unknownAppendEnd; // where the fold ended then; valid if m_appendUnknown
    bool m_accepted = false; // by an append of this submission
};

} // namespace tamarack
