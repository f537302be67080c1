// All partitions of batch jobs, and the contents of their items.
#pragma once

#include <tamarackglade/gateway/batch_partition.hpp>
#include <tamarackglade/gateway/content_store.hpp>

#include <memory>
#include <vector>

namespace tamarack {

/// @brief Owns the partitions; a customer's jobs are in one.
class batch_store
{
public:
    /// @param onChange called when jobs have changed
    batch_store(record_store &store, std::uint32_t partitions, duration keepTime,
                const std::function<void()> &onChange);

    void start();
    void tick(instant now);

    [[nodiscard]] content_store &contents() { return m_contents; }
    [[nodiscard]] batch_partition &partitionOf(const customer_id &customer);
    [[nodiscard]] const std::vector<std::unique_ptr<batch_partition>> &partitions() const
    {
        return m_partitions;
    }

private:
    content_store m_contents;
    std::vector<std::unique_ptr<batch_partition>> m_partitions;
};

} // namespace tamarack
