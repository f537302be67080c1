// One process's answer to a status request.
#pragma once

#include <tamarackglade/membership/listed_vm.hpp>

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace tamarack {

/// @brief A process on the VM list with its status answer, or the reason why it has none.
struct vm_status
{
    listed_vm listed;
    nlohmann::ordered_json answer; // null if the process was not reached
    std::string fault; // empty if it answered

    [[nodiscard]] bool isReached() const { return fault.empty(); }

    /// @return an unsigned number in the answer; none if it is absent or of another type
    [[nodiscard]] std::optional<std::uint64_t> number(const char *member) const;
    /// @return a boolean in the answer; false if it is absent or of another type
    [[nodiscard]] bool flag(const char *member) const;

    /// @return whether the process answered that it serves or drains with a configuration of at
    /// least this offset
    [[nodiscard]] bool hasInForce(log_offset offset) const;
};

} // namespace tamarack
