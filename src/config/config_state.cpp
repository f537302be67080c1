// Queries and digest of the configuration.
#include <tamarackglade/config/config_state.hpp>
#include <tamarackglade/core/hash.hpp>

#include <algorithm>

namespace tamarack {

bool config_state::isDrained(const vm_id &vm, incarnation_number process) const
{
    return std::any_of(drained.begin(), drained.end(),
                       [&](const drained_vm &entry) { return entry.covers(vm, process); });
}

std::uint64_t config_state::computeDigest() const
{
    std::uint64_t hash = stableHash("config", offset.value());
    hash = stableHash("manifest", hash ^ manifestOffset.value());
    hash = stableHash("text", hash ^ (inForce ? inForce->digest : 0));
    for (const auto &[id, entry] : keys.entries()) {
        hash = stableHash(id.value(), hash);
        hash = stableHash(entry.customer.value(), hash);
        hash = stableHash({reinterpret_cast<const char *>(entry.hash.data()), entry.hash.size()},
                          hash);
    }
    for (const key_id &id : keys.withdrawn())
        hash = stableHash(id.value(), hash + 1);
    for (const drained_vm &entry : drained)
        hash = stableHash(entry.vm.value(), hash ^ entry.upTo.value());
    return hash;
}

} // namespace tamarack
