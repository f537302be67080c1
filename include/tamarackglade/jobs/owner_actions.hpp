// The actions that a partition owner returns for its caller to perform.
#pragma once

#include <tamarackglade/jobs/input_reference.hpp>
#include <tamarackglade/jobs/item_key.hpp>
#include <tamarackglade/schema/records.hpp>

#include <string>
#include <variant>
#include <vector>

namespace tamarack {

/// @brief Send an item to an upstream. If alone is set, no other batch item runs on its side
/// meanwhile.
struct start_item
{
    attempt_id attempt;
    item_key item;
    input_reference input;
    upstream_id upstream;
    bool alone = false;
};

/// @brief Cancel an attempt at its upstream.
struct cancel_attempt
{
    attempt_id attempt;
    upstream_id upstream;
};

/// @brief Append the batch to the stream and pass the outcome to partition_owner::onAppendResult.
struct append_batch
{
    std::string stream;
    schema::log_batch_message batch;
};

/// @brief The handover is complete: no attempt runs and no result waits. Notify the possible
/// successors.
struct released_partition
{
    partition_id partition;
    epoch_number epoch;
};

/// @brief The partition has another owner; all attempts were dropped.
struct lost_partition
{
    partition_id partition;
    epoch_number epoch;
};

using owner_action =
    std::variant<start_item, cancel_attempt, append_batch, released_partition, lost_partition>;
using owner_actions = std::vector<owner_action>;

} // namespace tamarack
