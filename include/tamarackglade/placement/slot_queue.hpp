// Queue of online requests that wait for a slot.
#pragma once

#include <tamarackglade/gate/fair_queue.hpp>
#include <tamarackglade/placement/slot_allocator.hpp>

#include <deque>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace tamarack {

/// Id of a waiting request; increases with each request.
using waiter_id = strong_id<struct waiter_tag, std::uint64_t>;

/// @brief A request for a slot, with its order and deadline.
struct slot_request
{
    placement_request placement;
    customer_id customer; // empty for callers without a key
    int priority = 0; // 0 goes first
    time_point latestStart{}; // a later start would miss the objective for the first event
};

/// @brief A waiting request and the upstream at which a slot was acquired for it.
struct granted_slot
{
    waiter_id waiter;
    upstream_id upstream;
};

/// @brief Number of requests that wait for the same upstreams.
struct waiting_work
{
    group_id group;
    std::optional<software_version> version; // nullopt if any will do
    std::size_t count = 0;
};

/// @brief Orders waiting requests by priority, then fairly between customers, and refuses requests
/// that can't start in time.
///
/// This handles bursts beyond the slots of the fleet, and one customer that sends several times its
/// usual rate. A request is refused immediately if the requests before it are expected to take
/// longer than it can wait.
class slot_queue
{
public:
    explicit slot_queue(slot_allocator &allocator) : m_allocator(allocator) { }

    /// @brief Acquires a slot if one is free and no request waits for the same upstreams.
    /// @return the upstream, or nullopt
    std::optional<upstream_id> tryAcquire(const placement_request &placement, time_point now);

    /// @brief Queues a request unless its expected start is after latestStart.
    /// @return its id, or nullopt if it was refused
    std::optional<waiter_id> enqueue(const slot_request &request, time_point now);

    /// @brief Queues a request for which a slot is about to be released, without a check of the
    /// expected wait.
    /// @return its id
    waiter_id enqueueUnchecked(const slot_request &request);

    /// @brief Removes a request; does nothing if it no longer waits.
    void remove(waiter_id waiter);

    /// @brief Acquires free slots for waiting requests in order, and removes these requests.
    /// @return the requests with their upstreams
    std::vector<granted_slot> grant(time_point now);

    /// @brief Removes the requests whose latestStart has passed.
    /// @return their ids
    std::vector<waiter_id> expire(time_point now);

    /// @brief Records the time at which a request finished, for the expected wait.
    void onFinished(time_point now);

    [[nodiscard]] std::size_t size() const { return m_waiting.size(); }
    /// @return the waiting requests by the upstreams that they wait for, those with a version first
    [[nodiscard]] std::vector<waiting_work> waitingWork() const;
    /// @return the expected time until a newly queued request gets a slot
    [[nodiscard]] duration expectedWait(time_point now) const;

private:
    struct waiter
    {
        slot_request request;
    };

    /// Requests that compete for the same slots. Within a priority, streams that go on come before
    /// new work, as only some upstreams can take them.
    struct level_key
    {
        int priority = 0; // lowest first
        bool isNew = true; // goes on at no particular version
        group_id group;
        software_version version; // empty if isNew

        friend bool operator==(const level_key &, const level_key &) = default;
        friend bool operator<(const level_key &left, const level_key &right)
        {
            return std::tie(left.priority, left.isNew, left.group, left.version)
                   < std::tie(right.priority, right.isNew, right.group, right.version);
        }
    };

    static level_key levelOf(const slot_request &request);
    /// @return whether requests wait for the same upstreams as this one
    [[nodiscard]] bool othersWait(const placement_request &placement) const;
    [[nodiscard]] std::size_t countAhead(const slot_request &request) const;
    /// @return the expected wait of a request with this number of requests before it
    [[nodiscard]] duration expectedWaitBehind(std::size_t ahead, time_point now) const;
    void grantLevel(const level_key &key, fair_queue<waiter_id> &level,
                    std::vector<granted_slot> &granted, time_point now);
    std::optional<upstream_id> pickFor(const placement_request &placement, time_point now);

    slot_allocator &m_allocator;
    std::uint64_t m_lastWaiter = 0;
    std::unordered_map<waiter_id, waiter> m_waiting;
    std::map<level_key, fair_queue<waiter_id>> m_levels; // holds exactly the ids of m_waiting
    std::deque<time_point> m_finishedAt; // within the rate window, oldest first
};

} // namespace tamarack
