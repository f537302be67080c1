// The fold of the order stream.
#pragma once

#include <tamarackglade/config/log_entry.hpp>
#include <tamarackglade/orders/folded_order.hpp>

#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

inline constexpr std::string_view OrdersStream = "orders";

/// @brief Decodes log entries into orders. A valid entry has one order; duplicates are dropped.
class order_fold
{
public:
    /// @brief Applies one log entry. Entries at or before the last applied offset are ignored.
    /// @return the order of the entry; nullopt if it is invalid, a duplicate or ignored
    std::optional<folded_order> apply(const log_entry &entry);

    /// @return the offset after the last applied entry
    [[nodiscard]] log_offset next() const { return m_next; }

private:
    [[nodiscard]] bool isDuplicate(const std::string &orderId);

    log_offset m_next{1}; // never decreases
    // A bounded number of ids suffices: duplicates come from retries shortly after the first
    // append.
    std::deque<std::string> m_recentIds;
};

} // namespace tamarack
