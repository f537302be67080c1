// The online calls that an entry has running on upstreams.
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

/// @brief Carries out what the call tracker decides: frames to sides, answers to channels.
/// Thread-safe; an upstream is named by its side's VM.
class call_dispatcher
{
public:
    explicit call_dispatcher(const peer_identity &self, const process_mutations &mutations = {});

    /// @brief Sends a call to an upstream of its group; the answer comes through the channel.
    void start(const call_request &call, std::shared_ptr<answer_channel> channel);
    /// @brief Ends a call whose caller has gone; its channel gets nothing more.
    void cancel(const request_id &request);
    /// @brief Ends calls whose deadlines have passed; call it often.
    void tick();

    /// @brief Takes the listed sides, and those of them that take new work.
    void setSides(const std::vector<listed_vm> &listed, const std::vector<listed_vm> &working);

    void onConnected(const std::shared_ptr<wire_peer> &peer);
    void onFrame(const std::shared_ptr<wire_peer> &peer, const schema::frame_message &frame);
    void onClosed(const std::shared_ptr<wire_peer> &peer);

private:
    using channel_pointer = std::shared_ptr<answer_channel>;
    using peer_pointer = std::shared_ptr<wire_peer>;

    /// @brief A frame or an answer's part that is passed on once the lock is released.
    struct delivery
    {
        peer_pointer peer; // of a frame
        schema::frame_bodyUnion body;
        channel_pointer channel; // of an answer's part
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
