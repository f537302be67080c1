// Maps customers to partitions. Jobs and rate limits of a customer live in its partition.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <string>

namespace tamarack {

/// @return the partition of a customer among count partitions; count must not be 0
partition_id partitionOf(const customer_id &customer, std::uint32_t count);

/// @return the log stream of a partition's jobs, "jobs-<partition>"
std::string jobStreamName(partition_id partition);

} // namespace tamarack
