// Online requests that wait for a slot.
#pragma once

#include <tamarackglade/gate/fair_queue.hpp>
#include <tamarackglade/placement/slot_allocator.hpp>

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace tamarack {

/// Names a waiting request; grows with each.
using waiter_id = strong_id<struct waiter_tag, std::uint64_t>;

/// @brief A request that needs a slot.
struct slot_request
{
    placement_request placement;
    customer_id customer; // empty for callers without a key
    int priority = 0; // 0 goes first
    time_point latestStart{}; // after it the first event would be late
};

/// @brief A waiting request that got a slot.
struct granted_slot
{
    waiter_id waiter;
    upstream_id upstream;
};

/// @brief Orders waiting requests by priority, then in turns over customers, and refuses what
/// can't start in time.
///
/// Load that it answers: a burst above the fleet's slots, and one customer that sends several times
/// its usual. A request is refused at once if those before it need longer than it can wait.
class slot_queue
{
public:
    explicit slot_queue(slot_allocator &allocator) : m_allocator(allocator) { }

    /// @brief Takes a slot at once if one is free and nobody waits for it.
    std::optional<upstream_id> tryAcquire(const placement_request &placement, time_point now);

    /// @brief Queues a request, unless it would wait too long.
    /// @return its name, or nullopt if it is hopeless
    std::optional<waiter_id> enqueue(const slot_request &request, time_point now);

    /// @brief Queues a request for which a slot is about to be freed.
    waiter_id enqueueUnchecked(const slot_request &request);

    /// @brief Takes a request out, whatever its state.
    void remove(waiter_id waiter);

    /// @brief Gives free slots to those whose turn it is; their slots are taken.
    std::vector<granted_slot> grant(time_point now);

    /// @brief Takes out the requests that can't start in time any more.
    std::vector<waiter_id> expire(time_point now);

    /// @brief Notes that a slot was freed by a finished request.
    void onFinished(time_point now);

    [[nodiscard]] std::size_t size() const { return m_waiting.size(); }
    /// @return the time in which a newly queued request is expected to get a slot
    [[nodiscard]] duration expectedWait(time_point now) const;

private:
    struct waiter
    {
        slot_request request;
    };

    using level_key = std::pair<int, group_id>; // the lower priority number first

    static level_key levelOf(const slot_request &request);
    [[nodiscard]] std::size_t countAhead(const slot_request &request) const;
    /// @return the expected wait of a request with so many before it
    [[nodiscard]] duration expectedWaitBehind(std::size_t ahead, time_point now) const;
    void grantLevel(const group_id &group, fair_queue<waiter_id> &level,
                    std::vector<granted_slot> &granted, time_point now);
    std::optional<upstream_id> pickFor(const placement_request &placement, time_point now);

    slot_allocator &m_allocator;
    std::uint64_t m_lastWaiter = 0;
    std::unordered_map<waiter_id, waiter> m_waiting;
    std::map<level_key, fair_queue<waiter_id>> m_levels; // holds exactly m_waiting
    std::deque<time_point> m_finishedAt; // lately, oldest first
};

} // namespace tamarack
