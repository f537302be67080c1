// Maps customers to partitions. Jobs and rate limits of a customer live in its partition; calls
// with an Idempotency-Key have partitions of their own.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <string>

namespace tamarack {

/// @return the partition of a customer among count partitions; count must not be 0
partition_id partitionOf(const customer_id &customer, std::uint32_t count);

/// @return the log stream of a partition's jobs, "jobs-<partition>"
std::string jobStreamName(partition_id partition);

/// @return the partition of a customer's Idempotency-Key among count partitions, which isn't 0
partition_id partitionOfKey(const customer_id &customer, const std::string &key,
                            std::uint32_t count);

/// @return the log stream of a partition's keyed calls, "calls-<partition>"
std::string callStreamName(partition_id partition);

} // namespace tamarack
