// The borrowed tokens that an entry holds for one customer.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <cstdint>
#include <vector>

namespace tamarack {

/// @brief Borrowed tokens with their expiry times; those that expire first are spent first.
class borrowed_tokens
{
public:
    /// @brief Adds tokens that may be spent before expiry.
    void add(std::uint32_t tokens, time_point expiry);

    /// @brief Spends a token.
    /// @return whether there was an unexpired token
    bool spend(time_point now);

    /// @return the unexpired tokens
    std::uint32_t held(time_point now);

    /// @brief Removes all tokens.
    void clear() { m_loans.clear(); }

private:
    struct loan
    {
        std::uint32_t tokens;
        time_point expiry;
    };

    void dropExpired(time_point now);

    std::vector<loan> m_loans; // in order of expiry; no loan has 0 tokens
};

} // namespace tamarack
