// Maps customers to batch partitions.
#include <tamarackglade/core/partition.hpp>
#include <tamarackglade/gateway/batch/batch_store.hpp>

namespace tamarack {

batch_store::batch_store(record_store &store, std::uint32_t partitions, duration keepTime)
    : m_contents(store, partitions)
{
    for (std::uint32_t i = 0; i < partitions; ++i)
        m_partitions.push_back(std::make_unique<batch_partition>(store, i, keepTime));
}

void batch_store::start()
{
    for (const auto &partition : m_partitions)
        partition->start();
}

void batch_store::tick(time_point now)
{
    for (const auto &partition : m_partitions)
        partition->tick(now);
}

void batch_store::setLargeFleet(bool isLarge)
{
    for (const auto &partition : m_partitions)
        partition->setLargeFleet(isLarge);
}

batch_partition &batch_store::partitionOf(const customer_id &customer)
{
    return *m_partitions[indexOf(customer)];
}

std::vector<const batch_fold *> batch_store::folds() const
{
    std::vector<const batch_fold *> all;
    for (const auto &partition : m_partitions)
        all.push_back(&partition->fold());
    return all;
}

const customer_batch *batch_store::findJob(const batch_id &id) const
{
    return m_partitions[indexOf(id.customer)]->fold().find(id);
}

std::size_t batch_store::indexOf(const customer_id &customer) const
{
    const auto count = static_cast<std::uint32_t>(m_partitions.size());
    return tamarack::partitionOf(customer, count).value();
}

} // namespace tamarack
