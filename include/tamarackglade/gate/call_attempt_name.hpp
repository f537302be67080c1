// The structure of attempt ids: who sent the attempt, and to which process incarnation.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <cstdint>
#include <optional>

namespace tamarack {

/// @brief An attempt id taken apart.
/// The side's incarnation is part of the id, so that a restarted side recognizes attempts that an
/// earlier incarnation may have run.
struct call_attempt_name
{
    vm_id entry;
    incarnation_number entryIncarnation;
    std::uint64_t sequence = 0; // grows with each attempt of one entry incarnation
    incarnation_number sideIncarnation;

    /// @return the id as sent in frames: "<entry>/<incarnation>/<sequence>/<side incarnation>"
    [[nodiscard]] attempt_id format() const;

    /// @return the parts, or nothing if the id has another form
    static std::optional<call_attempt_name> parse(const attempt_id &id);
};

} // namespace tamarack
