// What a partition's owner asks its shell to do.
#pragma once

#include <tamarackglade/jobs/input_reference.hpp>
#include <tamarackglade/jobs/item_key.hpp>
#include <tamarackglade/schema/records.hpp>

#include <string>
#include <variant>
#include <vector>

namespace tamarack {

/// @brief Send an item to an upstream. With alone, its side runs no other batch item beside it.
struct start_item
{
    attempt_id attempt;
    item_key item;
    input_reference input;
    upstream_id upstream;
    bool alone = false;
};

struct cancel_attempt
{
    attempt_id attempt;
    upstream_id upstream;
};

/// @brief Append to the stream; answer with partition_owner::onAppendResult.
struct append_batch
{
    std::string stream;
    schema::log_batch_message batch;
};

/// @brief The hand-over is complete: nothing runs and nothing waits. Tell the successors.
struct released_partition
{
    partition_id partition;
    epoch_number epoch;
};

/// @brief The partition has another owner; all was dropped.
struct lost_partition
{
    partition_id partition;
    epoch_number epoch;
};

using owner_action =
    std::variant<start_item, cancel_attempt, append_batch, released_partition, lost_partition>;
using owner_actions = std::vector<owner_action>;

} // namespace tamarack
