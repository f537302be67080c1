// The outcome of reading a manifest.
#pragma once

#include <tamarackglade/config/manifest.hpp>
#include <tamarackglade/ini/manifest_fault.hpp>

#include <memory>
#include <vector>

namespace tamarack {

struct manifest_result
{
    // Invariant: parsed is set exactly if faults is empty.
    std::shared_ptr<const manifest> parsed;
    std::vector<manifest_fault> faults; // all of them, in order of line

    [[nodiscard]] bool ok() const { return parsed != nullptr; }
};

} // namespace tamarack
