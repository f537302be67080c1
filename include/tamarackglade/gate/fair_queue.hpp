// Weighted deficit round robin over customers.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

namespace tamarack {

/// @brief A queue that shares its pops among the customers with waiting items by their weights.
/// push and pop are O(1) amortized; a weight is an integer of at least one.
template <class Item>
class fair_queue
{
public:
    /// @brief Appends an item to the customer's queue and sets the customer's weight.
    /// @param weight pops per round; 0 counts as 1
    void push(const customer_id &customer, std::uint32_t weight, Item item)
    {
        auto &queue = m_flows[customer];
        if (queue.items.empty())
            m_round.push_back(customer);
        queue.weight = std::max<std::uint32_t>(weight, 1);
        queue.items.push_back(std::move(item));
        ++m_size;
    }

    /// @brief Removes the next item in fair order.
    /// @return the item; nullopt if the queue is empty
    std::optional<Item> pop()
    {
        if (m_round.empty())
            return std::nullopt;
        const auto customer = m_round.front();
        auto &queue = m_flows[customer];
        if (queue.deficit == 0)
            queue.deficit = queue.weight;
        std::optional<Item> item(std::move(queue.items.front()));
        queue.items.pop_front();
        --queue.deficit;
        --m_size;
        advanceRound(customer);
        return item;
    }

    /// @brief Removes the customer's newest item.
    /// @return the item; nullopt if the customer has none
    std::optional<Item> popNewest(const customer_id &customer)
    {
        const auto found = m_flows.find(customer);
        if (found == m_flows.end())
            return std::nullopt;
        std::optional<Item> item(std::move(found->second.items.back()));
        found->second.items.pop_back();
        --m_size;
        eraseIfEmpty(customer);
        return item;
    }

    /// @brief Removes the customer's oldest item that equals value. O(items of the customer).
    /// @return whether there was one
    bool remove(const customer_id &customer, const Item &value)
    {
        const auto found = m_flows.find(customer);
        if (found == m_flows.end())
            return false;
        auto &items = found->second.items;
        const auto position = std::find(items.begin(), items.end(), value);
        if (position == items.end())
            return false;
        items.erase(position);
        --m_size;
        eraseIfEmpty(customer);
        return true;
    }

    [[nodiscard]] std::size_t size() const { return m_size; }
    [[nodiscard]] bool empty() const { return m_size == 0; }

    /// @return the number of waiting items of a customer
    [[nodiscard]] std::size_t backlog(const customer_id &customer) const
    {
        const auto found = m_flows.find(customer);
        return found == m_flows.end() ? 0 : found->second.items.size();
    }

    /// @return the approximate number of items popped before a new item of the customer, assuming
    /// equal weights. O(customers with waiting items).
    [[nodiscard]] std::size_t aheadOfNew(const customer_id &customer) const
    {
        const std::size_t turns = backlog(customer);
        std::size_t ahead = turns;
        for (const auto &[name, queue] : m_flows)
            ahead += name == customer ? 0 : std::min(queue.items.size(), turns + 1);
        return ahead;
    }

    /// @return the sum of the weights of all other customers with waiting items
    [[nodiscard]] std::uint64_t weightOfOthers(const customer_id &customer) const
    {
        std::uint64_t sum = 0;
        for (const auto &[name, queue] : m_flows)
            sum += name == customer ? 0 : queue.weight;
        return sum;
    }

    /// @return the customer with the most waiting items relative to its weight
    /// @pre the queue is not empty
    [[nodiscard]] customer_id mostBacklogged() const
    {
        const auto load = [](const auto &entry) {
            return static_cast<double>(entry.second.items.size()) / entry.second.weight;
        };
        const auto less = [&](const auto &a, const auto &b) {
            return std::pair(load(a), a.first.value()) < std::pair(load(b), b.first.value());
        };
        return std::max_element(m_flows.begin(), m_flows.end(), less)->first;
    }

private:
    struct flow
    {
        std::deque<Item> items;
        std::uint32_t weight = 1;
        std::uint32_t deficit = 0; // pops left in this round
    };

    void advanceRound(const customer_id &customer)
    {
        const auto &queue = m_flows.at(customer);
        if (!queue.items.empty() && queue.deficit > 0)
            return;
        m_round.pop_front();
        if (queue.items.empty())
            m_flows.erase(customer);
        else
            m_round.push_back(customer);
    }

    void eraseIfEmpty(const customer_id &customer)
    {
        if (!m_flows.at(customer).items.empty())
            return;
        m_round.erase(std::find(m_round.begin(), m_round.end(), customer));
        m_flows.erase(customer);
    }

    // Invariant: m_flows contains exactly the customers with waiting items; m_round has each once.
    std::unordered_map<customer_id, flow> m_flows;
    std::deque<customer_id> m_round;
    std::size_t m_size = 0;
};

} // namespace tamarack
