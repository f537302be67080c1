// Orders to the engine and their fencing numbers.
#pragma once

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tamarack::standins {

/// @brief One order, carried out or refused.
struct engine_order
{
    std::string id; // may be empty
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

    /// @brief Notes that an order was carried out.
    void carriedOut(const engine_order &order) { m_inForce[order.kind] = order; }

    [[nodiscard]] bool checksFences() const { return m_checkFences; }
    [[nodiscard]] std::uint64_t highestFence() const { return m_highestFence; }

    /// @return all orders, in order of arrival
    [[nodiscard]] nlohmann::json show() const
    {
        nlohmann::json shown = nlohmann::json::array();
        for (const engine_order &order : m_orders)
            shown.push_back(toJson(order));
        return shown;
    }

    /// @return the last order of each kind that was carried out
    [[nodiscard]] nlohmann::json showInForce() const
    {
        nlohmann::json shown = nlohmann::json::array();
        for (const auto &[kind, order] : m_inForce)
            shown.push_back(toJson(order));
        return shown;
    }

private:
    [[nodiscard]] static nlohmann::json toJson(const engine_order &order)
    {
        return {{"order_id", order.id},
                {"fence", order.fence},
                {"kind", order.kind},
                {"argument", order.argument},
                {"accepted", order.accepted}};
    }

    bool m_checkFences;
    std::uint64_t m_highestFence = 0;
    std::vector<engine_order> m_orders;
    std::map<std::string, engine_order> m_inForce; // by kind
};

} // namespace tamarack::standins
