// Timers that parts subscribe to. The shell advances it by the real clock, tests by a virtual one.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace tamarack {

/// @brief Runs callbacks at or after the time points that they were subscribed for.
/// Not thread-safe: each shard owns one and calls it under the shard's lock.
class timer_service
{
public:
    /// Names a subscription; 0 is never used.
    using timer_handle = std::uint64_t;
    using callback = std::function<void(time_point now)>;

    /// @brief Subscribes to one expiry.
    /// @return a handle for cancel; complexity O(log n)
    timer_handle subscribe(time_point when, callback action);

    /// @brief Subscribes to an expiry every period, first at first.
    timer_handle subscribeEvery(time_point first, duration period, callback action);

    /// @brief Ends a subscription; an unknown or expired handle is ignored.
    void cancel(timer_handle handle);

    /// @brief Runs all that is due at now, in order of expiry, then of subscription.
    void advance(time_point now);

    /// @return when advance has something to do next
    [[nodiscard]] std::optional<time_point> nextExpiry() const;

private:
    struct subscription
    {
        callback action;
        duration period; // zero: expires once
    };
    using due_key = std::pair<time_point, timer_handle>;

    void schedule(timer_handle handle, time_point when, subscription entry);

    timer_handle m_lastHandle = 0;
    // Invariant: m_due and m_dueByHandle hold the same handles.
    std::map<due_key, subscription> m_due;
    std::unordered_map<timer_handle, time_point> m_dueByHandle;
};

} // namespace tamarack
