// Deficit round robin over customers; each item costs one unit.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>

namespace tamarack {

/// @brief Serves each customer up to its weight in units per turn. A customer without an item
/// during its turn loses the remaining units of the turn.
class deficit_round_robin
{
public:
    /// @brief Adds a customer, or changes its weight; a weight of 0 counts as 1.
    void set(const customer_id &customer, std::uint32_t weight);
    void remove(const customer_id &customer);
    [[nodiscard]] bool contains(const customer_id &customer) const;

    /// @brief Spends one unit of the first customer in turn for which take returns true.
    /// @param take removes one item of the customer; returns false if the customer has none now
    /// @return that customer, or nothing if no customer has an item; complexity O(customers)
    std::optional<customer_id> next(const std::function<bool(const customer_id &)> &take);

private:
    struct customer_turn
    {
        std::uint32_t weight = 1;
        std::uint32_t remaining = 0; // units left of the current turn
    };

    // Invariant: m_ring and m_turns hold the same customers; the turn is at the front of m_ring.
    std::list<customer_id> m_ring;
    std::map<customer_id, customer_turn> m_turns;
};

} // namespace tamarack
