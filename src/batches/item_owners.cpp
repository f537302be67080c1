// Hashes each item once for each list of gateways.
#include <tamarackglade/batches/item_owners.hpp>
#include <tamarackglade/core/hash.hpp>

namespace tamarack {

const vm_id &ownerOf(const job_id &job, std::size_t item, const std::vector<vm_id> &gateways)
{
    const std::uint64_t seed = stableHash(job.value(), item);
    const vm_id *owner = nullptr;
    std::uint64_t highest = 0;
    for (const vm_id &gateway : gateways) {
        const std::uint64_t hash = stableHash(gateway.value(), seed);
        if (owner == nullptr || hash > highest) {
            owner = &gateway;
            highest = hash;
        }
    }
    return *owner;
}

void item_owners::setGateways(const std::vector<vm_id> &gateways)
{
    if (gateways == m_gateways)
        return;
    m_gateways = gateways;
    m_jobs.clear();
}

const std::vector<std::uint32_t> &item_owners::ownItems(const batch_id &batch, std::size_t items)
{
    const auto [found, isNew] = m_jobs.try_emplace(batch);
    owned_items &owned = found->second;
    owned.used = true;
    if (!isNew)
        return owned.numbers;
    for (std::size_t i = 0; i < items; ++i) {
        if (owns(batch, i))
            owned.numbers.push_back(static_cast<std::uint32_t>(i));
    }
    return owned.numbers;
}

bool item_owners::owns(const batch_id &batch, std::size_t item) const
{
    return !m_gateways.empty() && ownerOf(batch.job, item, m_gateways) == m_self;
}

void item_owners::dropUnused()
{
    std::erase_if(m_jobs, [](const auto &entry) { return !entry.second.used; });
    for (auto &[batch, owned] : m_jobs)
        owned.used = false;
}

} // namespace tamarack
