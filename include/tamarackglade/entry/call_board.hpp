// The calls that an entry has running on upstreams, and the sides that it may use.
#pragma once

#include <tamarackglade/entry/answer_channel.hpp>
#include <tamarackglade/entry/call_request.hpp>
#include <tamarackglade/wire/wire_handler.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace tamarack {

/// @brief Starts calls on sides and gives each answer to the channel of its attempt. Thread-safe.
class call_board
{
public:
    /// @brief Sends a call to a side of its group.
    /// @return the attempt, whose events come through channel; NotStarted at once if no side is
    /// there
    attempt_id start(const call_request &call, std::shared_ptr<answer_channel> channel);

    /// @brief Ends an attempt; its channel gets nothing more.
    void cancel(const attempt_id &attempt);

    void onConnected(const std::shared_ptr<wire_peer> &peer);
    void onFrame(const std::shared_ptr<wire_peer> &peer, schema::frame_message frame);
    void onClosed(const std::shared_ptr<wire_peer> &peer);

private:
    struct side_state
    {
        std::shared_ptr<wire_peer> peer;
        schema::load_report_message report;
        std::size_t inFlight = 0;
    };
    struct running_call
    {
        std::shared_ptr<answer_channel> channel;
        std::uint64_t connection = 0;
    };

    side_state *chooseSide(const group_id &group);
    std::shared_ptr<answer_channel> channelOf(const std::string &attempt);
    std::shared_ptr<answer_channel> finish(const std::string &attempt);

    std::mutex m_mutex; // guards the members below
    std::map<std::uint64_t, side_state> m_sides; // by connection
    std::unordered_map<std::string, running_call> m_running; // by attempt
    std::uint64_t m_lastAttempt = 0;
};

} // namespace tamarack
