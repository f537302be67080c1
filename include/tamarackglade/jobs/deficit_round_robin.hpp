// Deficit round robin over customers, at one unit an item.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>

namespace tamarack {

/// @brief Gives each customer turns of as many units as its weight.
/// A customer without work when its turn comes loses what is left of the turn.
class deficit_round_robin
{
public:
    /// @brief Adds a customer, or changes its weight; a weight of 0 counts as 1.
    void set(const customer_id &customer, std::uint32_t weight);
    void remove(const customer_id &customer);
    [[nodiscard]] bool contains(const customer_id &customer) const;

    /// @brief Spends one unit of the next customer for whom take returns true.
    /// @param take tries to take one item of a customer; false if it has none now
    /// @return that customer, or nothing if nobody had an item; complexity O(customers)
    std::optional<customer_id> next(const std::function<bool(const customer_id &)> &take);

private:
    struct customer_turn
    {
        std::uint32_t weight = 1;
        std::uint32_t remaining = 0; // units left of the current turn
    };

    // Invariant: m_ring and m_turns name the same customers; the front has the turn.
    std::list<customer_id> m_ring;
    std::map<customer_id, customer_turn> m_turns;
};

} // namespace tamarack
