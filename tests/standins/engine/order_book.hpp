// Orders to the engine and their fencing numbers.
#pragma once

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace tamarack::standins {

/// @brief One order, carried out or refused.
struct engine_order
{
    std::uint64_t fence = 0;
    std::string kind; // load_model, unload_model, load_adapter, load_version, change_role
    std::string argument;
    bool accepted = false;
};

/// @brief Decides on orders and keeps them all.
class order_book
{
public:
    explicit order_book(bool checkFences) : m_checkFences(checkFences) { }

    /// @brief Accepts an order unless its fence is lower than one seen and fences are checked.
    bool accept(engine_order order)
    {
        order.accepted = !m_checkFences || order.fence >= m_highestFence;
        m_highestFence = std::max(m_highestFence, order.fence);
        m_orders.push_back(order);
        return order.accepted;
    }

    [[nodiscard]] std::uint64_t highestFence() const { return m_highestFence; }

    /// @return all orders, in order of arrival
    [[nodiscard]] nlohmann::json show() const
    {
        nlohmann::json shown = nlohmann::json::array();
        for (const engine_order &order : m_orders)
            shown.push_back({{"fence", order.fence},
                             {"kind", order.kind},
                             {"argument", order.argument},
                             {"accepted", order.accepted}});
        return shown;
    }

private:
    bool m_checkFences;
    std::uint64_t m_highestFence = 0;
    std::vector<engine_order> m_orders;
};

} // namespace tamarack::standins
