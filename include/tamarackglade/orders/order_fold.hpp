// Folds the stream of orders.
#pragma once

#include <tamarackglade/config/log_entry.hpp>
#include <tamarackglade/orders/folded_order.hpp>

#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

inline constexpr std::string_view OrdersStream = "orders";

/// @brief Turns appends into orders. An append carries one order; repeats of an order are dropped.
class order_fold
{
public:
    /// @brief Takes one append. Appends at or before the last one are ignored.
    /// @return its order, if it has a valid one that is new
    std::optional<folded_order> apply(const log_entry &entry);

    /// @return the offset after the last append that was taken
    [[nodiscard]] log_offset next() const { return m_next; }

private:
    [[nodiscard]] bool isDuplicate(const std::string &orderId);

    log_offset m_next{1}; // never goes back
    std::deque<std::string> m_recentIds; // a repeat follows its first within an operator's retries
};

} // namespace tamarack
