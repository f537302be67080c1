// The structure of attempt ids: the sending entry and the receiving side, with incarnations.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <cstdint>
#include <optional>

namespace tamarack {

/// @brief The parsed form of an attempt id.
/// The id contains the side's incarnation, so that a restarted side recognizes attempts that an
/// earlier incarnation may have run.
struct call_attempt_name
{
    vm_id entry;
    incarnation_number entryIncarnation;
    std::uint64_t sequence = 0; // increases with each attempt of one entry incarnation
    incarnation_number sideIncarnation;

    /// @return the id as sent in frames: "<entry>/<incarnation>/<sequence>/<side incarnation>"
    [[nodiscard]] attempt_id format() const;

    /// @return the parsed id; nullopt if it is malformed
    static std::optional<call_attempt_name> parse(const attempt_id &id);
};

} // namespace tamarack
