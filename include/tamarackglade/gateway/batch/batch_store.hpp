// Access to all partitions of batch jobs and to the contents of their items.
#pragma once

#include <tamarackglade/gateway/batch/batch_partition.hpp>
#include <tamarackglade/gateway/batch/content_store.hpp>

#include <memory>
#include <vector>

namespace tamarack {

/// @brief Owns the partitions. All jobs of a customer are in one partition.
class batch_store
{
public:
    batch_store(record_store &store, std::uint32_t partitions, duration keepTime);

    void start();
    void tick(time_point now);
    /// @brief Sets whether the store has so many readers that each of them reads less often.
    void setLargeFleet(bool isLarge);

    [[nodiscard]] content_store &contents() { return m_contents; }
    [[nodiscard]] batch_partition &partitionOf(const customer_id &customer);
    /// @return the folds of all partitions
    [[nodiscard]] std::vector<const batch_fold *> folds() const;
    [[nodiscard]] const customer_batch *findJob(const batch_id &id) const;

private:
    [[nodiscard]] std::size_t indexOf(const customer_id &customer) const;

    content_store m_contents;
    std::vector<std::unique_ptr<batch_partition>> m_partitions;
};

} // namespace tamarack
