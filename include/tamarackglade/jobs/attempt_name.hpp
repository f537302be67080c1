// The id of an attempt, "job:item:epoch:n", unique for each try.
#pragma once

#include <tamarackglade/jobs/item_key.hpp>

#include <optional>

namespace tamarack {

struct attempt_name
{
    item_key item;
    epoch_number epoch;
    std::uint32_t number = 0; // from 1

    [[nodiscard]] attempt_id toId() const;
    /// @return the parts of an id, or nothing if it isn't one
    static std::optional<attempt_name> parse(const attempt_id &id);
};

} // namespace tamarack
