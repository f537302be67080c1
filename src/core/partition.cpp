// Partitions by a stable hash of the customer's id.
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/core/partition.hpp>

namespace tamarack {

partition_id partitionOf(const customer_id &customer, std::uint32_t count)
{
    return partition_id(static_cast<std::uint32_t>(stableHash(customer.value()) % count));
}

std::string jobStreamName(partition_id partition)
{
    return "jobs-" + std::to_string(partition.value());
}

partition_id partitionOfKey(const customer_id &customer, const std::string &key,
                            std::uint32_t count)
{
    // Each customer has a seed of its own.
    const std::uint64_t seed = stableHash(customer.value());
    return partition_id(static_cast<std::uint32_t>(stableHash(key, seed) % count));
}

std::string callStreamName(partition_id partition)
{
    return "calls-" + std::to_string(partition.value());
}

} // namespace tamarack
