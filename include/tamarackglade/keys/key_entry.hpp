// One valid key of a customer.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/keys/key_hash.hpp>

namespace tamarack {

/// @brief The owner and the hash of a key.
struct key_entry
{
    customer_id customer;
    key_hash hash{};

    friend bool operator==(const key_entry &, const key_entry &) = default;
};

} // namespace tamarack
