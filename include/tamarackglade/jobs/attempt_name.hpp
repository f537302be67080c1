// Parses and formats attempt ids.
#pragma once

#include <tamarackglade/jobs/item_key.hpp>

#include <optional>

namespace tamarack {

/// @brief The parts of an attempt id of the form "job:item:epoch:number", unique for each attempt.
struct attempt_name
{
    item_key item;
    epoch_number epoch; // of the partition owner that started the attempt
    std::uint32_t number = 0; // from 1

    [[nodiscard]] attempt_id toId() const;
    /// @return the parts of the id, or nothing if it does not have this form
    static std::optional<attempt_name> parse(const attempt_id &id);
};

} // namespace tamarack
