// The outcome of checking a presented key.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <variant>

namespace tamarack {

/// @brief Why a key is refused. For logs and counters: callers get the same answer in all cases.
enum class key_refusal { Malformed, Unknown, WrongSecret, Withdrawn };

/// @brief The owner of a valid key.
struct accepted_key
{
    key_id id;
    customer_id customer;
};

using key_check = std::variant<accepted_key, key_refusal>;

} // namespace tamarack
