// The configuration as it stands after one offset of its stream.
#pragma once

#include <tamarackglade/config/drained_vm.hpp>
#include <tamarackglade/config/manifest.hpp>
#include <tamarackglade/keys/key_table.hpp>

#include <memory>
#include <string>
#include <vector>

namespace tamarack {

/// @brief What the stream's records up to offset fold to; equal on every process.
struct config_state
{
    log_offset offset; // 0: nothing was folded
    // Invariant: manifestOffset is 0 exactly if inForce is null, else at most offset.
    log_offset manifestOffset;
    std::string manifestOperator;
    std::shared_ptr<const manifest> inForce;
    key_table keys;
    std::vector<drained_vm> drained; // in order of their records
    std::uint64_t digest = 0; // of all the above but manifestOperator

    /// @return whether an operator drained this process
    [[nodiscard]] bool isDrained(const vm_id &vm, incarnation_number process) const;

    /// @return the digest of the members; complexity O(keys + drained VMs)
    [[nodiscard]] std::uint64_t computeDigest() const;
};

} // namespace tamarack
