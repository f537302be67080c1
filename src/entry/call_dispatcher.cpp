// Calls the tracker under the lock and sends the resulting frames and events after releasing it.
#include <tamarackglade/entry/call_dispatcher.hpp>
#include <tamarackglade/entry/start_message.hpp>
#include <tamarackglade/runtime/steady_now.hpp>
#include <tamarackglade/wire/frame_codec.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace tamarack {

namespace {

routing_options routingOptions(const peer_identity &self)
{
    routing_options options;
    options.zone = self.zone;
    return options;
}

tracker_options trackerOptions(call_mutation mutation)
{
    tracker_options options;
    options.mutation = mutation;
    return options;
}

upstream_id upstreamOf(const std::shared_ptr<wire_peer> &peer)
{
    return upstream_id(peer->identity().vm.value());
}

} // namespace

call_dispatcher::call_dispatcher(const peer_identity &self, const process_mutations &mutations)
    : m_router(routingOptions(self), std::mt19937_64(std::random_device{}()), mutations.routing),
      m_tracker(trackerOptions(mutations.calls), self.vm, self.incarnation, m_router)
{
}

void call_dispatcher::start(const call_request &call, std::shared_ptr<answer_channel> channel)
{
    tracked_request request;
    request.id = call.id;
    request.group = call.group;
    request.deadline = steadyNow() + call.timeout;
    request.prefixHash = call.prefixHash;
    request.call = startMessage(call);
    deliveries out;
    {
        const std::lock_guard lock(m_mutex);
        m_channels[call.id.value()] = std::move(channel);
        out = makeDeliveries(m_tracker.onRequest(std::move(request), steadyNow()));
    }
    sendDeliveries(std::move(out));
}

void call_dispatcher::cancel(const request_id &request)
{
    deliveries out;
    {
        const std::lock_guard lock(m_mutex);
        m_channels.erase(request.value());
        out = makeDeliveries(m_tracker.onCallerDisconnected(request, steadyNow()));
    }
    sendDeliveries(std::move(out));
}

void call_dispatcher::tick()
{
    deliveries out;
    {
        const std::lock_guard lock(m_mutex);
        out = makeDeliveries(m_tracker.tick(steadyNow()));
    }
    sendDeliveries(std::move(out));
}

void call_dispatcher::setSides(const std::vector<listed_vm> &listed,
                               const std::vector<listed_vm> &working)
{
    deliveries out;
    {
        const std::lock_guard lock(m_mutex);
        std::vector<upstream_info> upstreams;
        std::vector<upstream_id> ids;
        for (const listed_vm &side : listed) {
            ids.emplace_back(side.vm.value());
            upstreams.push_back({ids.back(), side.group, side.zone, {}});
        }
        m_router.setUpstreams(upstreams);
        for (const upstream_id &id : ids) {
            const bool works = std::any_of(working.begin(), working.end(), [&](const auto &side) {
                return side.vm.value() == id.value();
            });
            m_router.onLeaving(id, !works, steadyNow());
        }
        // A side that is no longer listed does not come back.
        for (const upstream_id &id : m_listed) {
            if (std::find(ids.begin(), ids.end(), id) != ids.end())
                continue;
            deliveries more = makeDeliveries(m_tracker.onSideLost(id, steadyNow()));
            std::move(more.begin(), more.end(), std::back_inserter(out));
        }
        m_listed = std::move(ids);
        for (const auto &[id, peer] : m_sides)
            m_router.onConnected(id, steadyNow());
    }
    sendDeliveries(std::move(out));
}

void call_dispatcher::onConnected(const std::shared_ptr<wire_peer> &peer)
{
    deliveries out;
    {
        const std::lock_guard lock(m_mutex);
        const upstream_id id = upstreamOf(peer);
        m_sides[id] = peer;
        m_router.onConnected(id, steadyNow());
        out = makeDeliveries(
            m_tracker.onSideConnected(id, peer->identity().incarnation, steadyNow()));
    }
    sendDeliveries(std::move(out));
}

void call_dispatcher::onFrame(const std::shared_ptr<wire_peer> &peer,
                              const schema::frame_message &frame)
{
    const time_point now = steadyNow();
    deliveries out;
    {
        const std::lock_guard lock(m_mutex);
        if (const auto *report = frame.body.Asload_report())
            m_router.onReport(upstreamOf(peer), *report);
        else if (const auto *head = frame.body.Ascall_head())
            out = makeDeliveries(m_tracker.onHead(*head, now));
        else if (const auto *data = frame.body.Ascall_data())
            out = makeDeliveries(m_tracker.onData(*data, now));
        else if (const auto *end = frame.body.Ascall_end())
            out = makeDeliveries(m_tracker.onEnd(*end, now));
        else if (const auto *refused = frame.body.Asrefuse_answer())
            out = makeDeliveries(m_tracker.onRefuseAnswer(*refused, now));
    }
    sendDeliveries(std::move(out));
}

void call_dispatcher::onClosed(const std::shared_ptr<wire_peer> &peer)
{
    deliveries out;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_sides.find(upstreamOf(peer));
        // The peer may have been replaced by a newer connection, which is still open.
        if (found == m_sides.end() || found->second != peer)
            return;
        const upstream_id id = found->first;
        m_sides.erase(found);
        m_router.onDisconnected(id);
        out = makeDeliveries(m_tracker.onSideDisconnected(id, steadyNow()));
    }
    sendDeliveries(std::move(out));
}

call_dispatcher::deliveries call_dispatcher::makeDeliveries(call_actions actions)
{
    deliveries out;
    for (call_action &action : actions) {
        if (auto *start = std::get_if<send_start>(&action)) {
            addFrame(out, start->upstream, frameBody(std::move(start->frame)));
        } else if (const auto *cancelled = std::get_if<send_cancel>(&action)) {
            schema::cancel_call_message message;
            message.attempt = cancelled->attempt.value();
            addFrame(out, cancelled->upstream, frameBody(message));
        } else if (const auto *refuse = std::get_if<send_refuse>(&action)) {
            schema::refuse_attempt_message message;
            message.attempt = refuse->attempt.value();
            addFrame(out, refuse->upstream, frameBody(message));
        } else if (auto *head = std::get_if<caller_head>(&action)) {
            addEvent(out, head->request, answer_head{head->status, head->contentType});
        } else if (const auto *data = std::get_if<caller_data>(&action)) {
            addEvent(out, data->request,
                     answer_data{std::string(data->data.begin(), data->data.end())});
        } else if (auto *end = std::get_if<caller_end>(&action)) {
            addEvent(out, end->request, answer_end{std::move(end->error)});
            m_channels.erase(end->request.value());
        }
    }
    return out;
}

void call_dispatcher::addFrame(deliveries &out, const upstream_id &upstream,
                               schema::frame_bodyUnion body)
{
    const auto peer = m_sides.find(upstream);
    if (peer != m_sides.end())
        out.push_back({peer->second, std::move(body), nullptr, {}});
}

void call_dispatcher::addEvent(deliveries &out, const request_id &request, answer_event event)
{
    const auto channel = m_channels.find(request.value());
    if (channel != m_channels.end())
        out.push_back({nullptr, {}, channel->second, std::move(event)});
}

void call_dispatcher::sendDeliveries(deliveries out)
{
    for (delivery &item : out) {
        if (item.peer)
            item.peer->send(item.body);
        else
            item.channel->push(std::move(item.event));
    }
}

} // namespace tamarack
