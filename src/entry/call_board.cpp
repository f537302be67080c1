// Sides by connection, calls by attempt.
#include <tamarackglade/entry/call_board.hpp>
#include <tamarackglade/wire/frame_codec.hpp>

#include <absl/strings/str_cat.h>

namespace tamarack {

namespace {

schema::start_call_message startMessage(const call_request &call, const std::string &attempt)
{
    schema::start_call_message message;
    message.attempt = attempt;
    message.call_class = call.callClass;
    message.customer = call.customer.value();
    message.request_id = call.id.value();
    message.method = call.method;
    message.target = call.target;
    message.content_type = call.contentType;
    message.body.assign(call.body.begin(), call.body.end());
    message.streamed = call.streamed;
    message.repeatable = call.repeatable;
    message.deadline_ms = static_cast<std::uint32_t>(call.timeout.count());
    message.weight = call.weight;
    return message;
}

answer_end notStarted(const std::string &code, const std::string &message)
{
    constexpr std::uint32_t RetryAfterMs = 1'000;
    return {schema::call_outcome::NotStarted, code, message, RetryAfterMs};
}

} // namespace

attempt_id call_board::start(const call_request &call, std::shared_ptr<answer_channel> channel)
{
    std::shared_ptr<wire_peer> peer;
    std::string attempt;
    {
        const std::lock_guard lock(m_mutex);
        attempt = absl::StrCat(call.id.value(), ".", ++m_lastAttempt);
        if (side_state *side = chooseSide(call.group)) {
            peer = side->peer;
            ++side->inFlight;
            m_running[attempt] = running_call{channel, peer->connectionId()};
        }
    }
    if (peer)
        peer->send(frameBody(startMessage(call, attempt)));
    else
        channel->push(notStarted("no_upstream", "no upstream of the group is reachable"));
    return attempt_id(attempt);
}

void call_board::cancel(const attempt_id &attempt)
{
    std::shared_ptr<wire_peer> peer;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_running.find(attempt.value());
        if (found == m_running.end())
            return;
        const auto side = m_sides.find(found->second.connection);
        if (side != m_sides.end()) {
            peer = side->second.peer;
            --side->second.inFlight;
        }
        m_running.erase(found);
    }
    if (!peer)
        return;
    schema::cancel_call_message message;
    message.attempt = attempt.value();
    peer->send(frameBody(message));
}

void call_board::onConnected(const std::shared_ptr<wire_peer> &peer)
{
    const std::lock_guard lock(m_mutex);
    m_sides[peer->connectionId()].peer = peer;
}

void call_board::onFrame(const std::shared_ptr<wire_peer> &peer, schema::frame_message frame)
{
    if (const auto *report = frame.body.Asload_report()) {
        const std::lock_guard lock(m_mutex);
        m_sides[peer->connectionId()].report = *report;
    } else if (const auto *head = frame.body.Ascall_head()) {
        if (const auto channel = channelOf(head->attempt))
            channel->push(answer_head{head->status, head->content_type});
    } else if (const auto *data = frame.body.Ascall_data()) {
        if (const auto channel = channelOf(data->attempt))
            channel->push(answer_data{std::string(data->data.begin(), data->data.end())});
    } else if (const auto *end = frame.body.Ascall_end()) {
        if (const auto channel = finish(end->attempt))
            channel->push(answer_end{end->outcome, end->code, end->message, end->retry_after_ms});
    }
}

void call_board::onClosed(const std::shared_ptr<wire_peer> &peer)
{
    std::vector<std::shared_ptr<answer_channel>> lost;
    {
        const std::lock_guard lock(m_mutex);
        m_sides.erase(peer->connectionId());
        for (auto it = m_running.begin(); it != m_running.end();) {
            if (it->second.connection != peer->connectionId()) {
                ++it;
                continue;
            }
            lost.push_back(it->second.channel);
            it = m_running.erase(it);
        }
    }
    for (const auto &channel : lost)
        channel->push(answer_end{schema::call_outcome::Unknown, "upstream_lost",
                                 "the connection to the upstream was lost", 0});
}

call_board::side_state *call_board::chooseSide(const group_id &group)
{
    side_state *best = nullptr;
    for (auto &[connection, side] : m_sides) {
        const bool usable = side.peer && side.report.group == group.value()
                            && side.report.state == schema::upstream_state::Serving;
        if (usable && (best == nullptr || side.inFlight < best->inFlight))
            best = &side;
    }
    return best;
}

std::shared_ptr<answer_channel> call_board::channelOf(const std::string &attempt)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_running.find(attempt);
    return found == m_running.end() ? nullptr : found->second.channel;
}

std::shared_ptr<answer_channel> call_board::finish(const std::string &attempt)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_running.find(attempt);
    if (found == m_running.end())
        return nullptr;
    auto channel = found->second.channel;
    const auto side = m_sides.find(found->second.connection);
    if (side != m_sides.end())
        --side->second.inFlight;
    m_running.erase(found);
    return channel;
}

} // namespace tamarack
