// What one listed process answered to a status request.
#pragma once

#include <tamarackglade/membership/listed_vm.hpp>

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace tamarack {

/// @brief A process of the VM list with its answer, or why there is none.
struct vm_status
{
    listed_vm listed;
    nlohmann::ordered_json answer; // null if the process was not reached
    std::string fault; // empty if it answered

    [[nodiscard]] bool isReached() const { return fault.empty(); }

    /// @return a number of the answer, or nothing if it is absent or null
    [[nodiscard]] std::optional<std::uint64_t> number(const char *member) const;
    /// @return a yes or no of the answer; false if it is absent
    [[nodiscard]] bool flag(const char *member) const;

    /// @return whether the process surely serves, or drains, with the configuration of an offset
    [[nodiscard]] bool hasInForce(log_offset offset) const;
};

} // namespace tamarack
