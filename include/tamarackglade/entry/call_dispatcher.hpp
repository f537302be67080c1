// Runs an entry's online calls on upstreams.
#pragma once

#include <tamarackglade/calls/call_tracker.hpp>
#include <tamarackglade/entry/answer_channel.hpp>
#include <tamarackglade/entry/call_request.hpp>
#include <tamarackglade/membership/listed_vm.hpp>
#include <tamarackglade/node/process_mutations.hpp>
#include <tamarackglade/routing/router.hpp>
#include <tamarackglade/wire/wire_peer.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// @brief Executes the call tracker's actions: sends frames to sides and answer events to channels.
/// Thread-safe. The id of an upstream is the name of its side's VM.
class call_dispatcher
{
public:
    explicit call_dispatcher(const peer_identity &self, const process_mutations &mutations = {});

    /// @brief Sends a call to an upstream of its group.
    /// @param channel receives the answer's events
    void start(const call_request &call, std::shared_ptr<answer_channel> channel);
    /// @brief Cancels a call, for instance because its caller disconnected; its channel receives no
    /// more events.
    void cancel(const request_id &request);
    /// @brief Ends calls whose deadlines have passed; must be called periodically.
    void tick();

    /// @brief Replaces the list of sides. A side that is no longer listed counts as lost.
    /// @param listed all sides of the VM list
    /// @param working those that accept new work
    void setSides(const std::vector<listed_vm> &listed, const std::vector<listed_vm> &working);

    void onConnected(const std::shared_ptr<wire_peer> &peer);
    void onFrame(const std::shared_ptr<wire_peer> &peer, const schema::frame_message &frame);
    void onClosed(const std::shared_ptr<wire_peer> &peer);

private:
    using channel_pointer = std::shared_ptr<answer_channel>;
    using peer_pointer = std::shared_ptr<wire_peer>;

    /// @brief A frame or an answer event that is sent after the lock is released.
    struct delivery
    {
        peer_pointer peer; // of a frame
        schema::frame_bodyUnion body;
        channel_pointer channel; // of an answer event
        answer_event event;
    };
    using deliveries = std::vector<delivery>;

    deliveries makeDeliveries(call_actions actions);
    void addFrame(deliveries &out, const upstream_id &upstream, schema::frame_bodyUnion body);
    void addEvent(deliveries &out, const request_id &request, answer_event event);
    static void sendDeliveries(deliveries out);

    std::mutex m_mutex; // guards the members below
    router m_router;
    call_tracker m_tracker;
    std::map<upstream_id, peer_pointer> m_sides; // connected ones
    std::vector<upstream_id> m_listed; // by the latest VM list
    std::unordered_map<std::string, channel_pointer> m_channels; // by request
};

} // namespace tamarack
