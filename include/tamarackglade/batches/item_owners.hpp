// Remembers which batch items a gateway runs.
#pragma once

#include <tamarackglade/batches/batch_id.hpp>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// @brief Selects the gateway that runs an item by rendezvous hashing, so that few items move when
/// a gateway is added or removed.
///
/// Gateways with different member lists may both run an item; the fold then drops one of the two
/// results.
/// @param gateways must not be empty
/// @return an element of gateways
const vm_id &ownerOf(const job_id &job, std::size_t item, const std::vector<vm_id> &gateways);

/// @brief Caches the items that this gateway owns, as ownerOf() hashes every gateway for each item
/// and items are selected many times a second. This handles thousands of waiting items in a fleet
/// of hundreds of gateways.
class item_owners
{
public:
    /// @param self this gateway
    explicit item_owners(vm_id self) : m_self(std::move(self)) { }

    /// @brief Sets the gateways that run items; others than before discard what is cached.
    /// @param gateways may be empty; then nothing is owned
    void setGateways(const std::vector<vm_id> &gateways);

    /// @return the numbers of the job's items that this gateway owns, in ascending order; valid
    /// until the next call of another function
    const std::vector<std::uint32_t> &ownItems(const batch_id &batch, std::size_t items);

    /// @return whether this gateway owns the item
    [[nodiscard]] bool owns(const batch_id &batch, std::size_t item) const;

    /// @brief Discards jobs that weren't asked for since the last call.
    void dropUnused();

    /// @return the number of jobs that are cached
    [[nodiscard]] std::size_t size() const { return m_jobs.size(); }

private:
    struct owned_items
    {
        std::vector<std::uint32_t> numbers;
        bool used = true; // since the last dropUnused()
    };

    const vm_id m_self;
    std::vector<vm_id> m_gateways;
    std::unordered_map<batch_id, owned_items> m_jobs; // invariant: computed for m_gateways
};

} // namespace tamarack
