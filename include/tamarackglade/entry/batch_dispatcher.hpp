// Sends an entry's batch items to sides and tracks the sides' offers of capacity.
#pragma once

#include <tamarackglade/entry/batch_answer.hpp>
#include <tamarackglade/entry/call_request.hpp>
#include <tamarackglade/wire/wire_peer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// @brief A side's latest offer of capacity for batch items.
struct side_offer
{
    vm_id side;
    group_id group;
    std::uint32_t credits = 0; // items that it accepts now
    std::uint32_t running = 0; // items of this entry that it runs
};

/// @brief Starts and cancels attempts at batch items on connected sides and collects their answers.
/// Used on the control thread only.
class batch_dispatcher
{
public:
    using answer_callback = std::function<void(const batch_answer &)>;

    /// @param self the identity of this process, used in attempt ids
    explicit batch_dispatcher(const peer_identity &self);

    /// @brief Sends an item to a side. The callback is called exactly once, after start returned.
    /// @param alone whether the upstream must run the item without other items
    /// @return the attempt, or nothing if the side is not connected; the callback is then not
    /// called
    std::optional<attempt_id> start(const vm_id &side, const call_request &call, bool alone,
                                    answer_callback callback);
    /// @brief Sends a cancellation of an attempt to its side; the callback is still called.
    void cancel(const attempt_id &attempt);

    /// @return the offers of all connected sides
    [[nodiscard]] std::vector<side_offer> offers() const;

    void onConnected(const std::shared_ptr<wire_peer> &peer);
    /// @return whether the frame belonged to a batch item
    bool onFrame(const std::shared_ptr<wire_peer> &peer, const schema::frame_message &frame);
    void onClosed(const std::shared_ptr<wire_peer> &peer);

private:
    struct side_state
    {
        std::shared_ptr<wire_peer> peer;
        side_offer offer;
    };
    struct running_item
    {
        vm_id side;
        std::uint64_t connection = 0;
        batch_answer answer; // parts received up to now
        answer_callback callback;
    };

    std::string nextAttempt(const peer_identity &side);
    void finish(const std::string &attempt, schema::call_outcome outcome, std::string code);

    const std::string m_self; // sender name in attempt ids, distinct from the online calls' sender
    const incarnation_number m_incarnation;
    std::uint64_t m_lastSequence = 0;
    std::map<vm_id, side_state> m_sides; // connected ones
    std::unordered_map<std::string, running_item> m_running; // by attempt
};

} // namespace tamarack
