// A slot for a request at another upstream while its present run goes on.
#pragma once

#include <tamarackglade/gateway/relay/blocking_slot_queue.hpp>

#include <optional>

namespace tamarack {

/// @brief Waits for a slot without blocking, and holds it. Gives up the wait or the slot when
/// destroyed. All calls on the gateway's thread.
class slot_reservation
{
public:
    /// @param queue must outlive the reservation
    slot_reservation(blocking_slot_queue &queue, const slot_request &request);
    slot_reservation(const slot_reservation &) = delete;
    slot_reservation &operator=(const slot_reservation &) = delete;
    ~slot_reservation();

    [[nodiscard]] bool isHeld() const { return m_upstream.has_value(); }
    [[nodiscard]] const group_id &group() const { return m_group; }
    /// @brief Hands the slot over; the caller releases it from now on.
    /// @pre isHeld()
    upstream_id take();

private:
    void onResult(const slot_result &result);

    blocking_slot_queue &m_queue;
    const group_id m_group;
    std::optional<waiter_id> m_waiter; // while the reservation waits
    std::optional<upstream_id> m_upstream; // of the slot that is held
};

} // namespace tamarack
