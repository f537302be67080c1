// Collects the frames of each attempt into one answer.
#include <tamarackglade/entry/batch_dispatcher.hpp>
#include <tamarackglade/entry/start_message.hpp>
#include <tamarackglade/wire/frame_codec.hpp>

#include <absl/strings/str_cat.h>

namespace tamarack {

namespace {

schema::start_call_message itemMessage(const call_request &call, const std::string &attempt,
                                       bool alone)
{
    schema::start_call_message message = startMessage(call);
    message.attempt = attempt;
    message.call_class = schema::call_class::Batch;
    message.streamed = false;
    message.repeatable = true;
    message.alone = alone;
    message.deadline_ms = static_cast<std::uint32_t>(call.timeout.count());
    return message;
}

} // namespace

batch_dispatcher::batch_dispatcher(const peer_identity &self)
    : m_self(absl::StrCat(self.vm.value(), ".batch")), m_incarnation(self.incarnation)
{
}

std::optional<attempt_id> batch_dispatcher::start(const vm_id &side, const call_request &call,
                                                  bool alone, answer_callback callback)
{
    const auto found = m_sides.find(side);
    if (found == m_sides.end())
        return std::nullopt;
    const auto &peer = found->second.peer;
    const std::string attempt = nextAttempt(peer->identity());
    ++found->second.offer.running;
    if (found->second.offer.credits > 0)
        --found->second.offer.credits;
    m_running[attempt] = running_item{side, peer->connectionId(), {}, std::move(callback)};
    peer->send(frameBody(itemMessage(call, attempt, alone)));
    return attempt_id(attempt);
}

void batch_dispatcher::cancel(const attempt_id &attempt)
{
    const auto found = m_running.find(attempt.value());
    if (found == m_running.end())
        return;
    const auto side = m_sides.find(found->second.side);
    if (side == m_sides.end())
        return;
    schema::cancel_call_message message;
    message.attempt = attempt.value();
    side->second.peer->send(frameBody(message));
}

std::vector<side_offer> batch_dispatcher::offers() const
{
    std::vector<side_offer> all;
    for (const auto &[vm, side] : m_sides)
        all.push_back(side.offer);
    return all;
}

void batch_dispatcher::onConnected(const std::shared_ptr<wire_peer> &peer)
{
    side_state &side = m_sides[peer->identity().vm];
    side.peer = peer;
    side.offer.side = peer->identity().vm;
    side.offer.credits = 0;
}

bool batch_dispatcher::onFrame(const std::shared_ptr<wire_peer> &peer,
                               const schema::frame_message &frame)
{
    if (const auto *report = frame.body.Asload_report()) {
        const auto side = m_sides.find(peer->identity().vm);
        if (side == m_sides.end())
            return false;
        side->second.offer.group = group_id(report->group);
        const bool serving = report->state == schema::upstream_state::Serving;
        side->second.offer.credits = serving ? report->batch_credits : 0;
        return false; // call_dispatcher handles the report too
    }
    if (const auto *head = frame.body.Ascall_head()) {
        const auto found = m_running.find(head->attempt);
        if (found != m_running.end())
            found->second.answer.status = head->status;
        return found != m_running.end();
    }
    if (const auto *data = frame.body.Ascall_data()) {
        const auto found = m_running.find(data->attempt);
        if (found != m_running.end())
            found->second.answer.body.append(data->data.begin(), data->data.end());
        return found != m_running.end();
    }
    if (const auto *end = frame.body.Ascall_end()) {
        if (!m_running.contains(end->attempt))
            return false;
        finish(end->attempt, end->outcome, end->code);
        return true;
    }
    return false;
}

void batch_dispatcher::onClosed(const std::shared_ptr<wire_peer> &peer)
{
    const auto side = m_sides.find(peer->identity().vm);
    if (side != m_sides.end() && side->second.peer == peer)
        m_sides.erase(side);
    std::vector<std::string> lostAttempts;
    for (const auto &[attempt, item] : m_running) {
        if (item.connection == peer->connectionId())
            lostAttempts.push_back(attempt);
    }
    for (const std::string &attempt : lostAttempts)
        finish(attempt, schema::call_outcome::Unknown, "side_lost");
}

std::string batch_dispatcher::nextAttempt(const peer_identity &side)
{
    return absl::StrCat(m_self, "/", m_incarnation.value(), "/", ++m_lastSequence, "/",
                        side.incarnation.value());
}

void batch_dispatcher::finish(const std::string &attempt, schema::call_outcome outcome,
                              std::string code)
{
    const auto found = m_running.find(attempt);
    running_item item = std::move(found->second);
    m_running.erase(found);
    const auto side = m_sides.find(item.side);
    if (side != m_sides.end() && side->second.offer.running > 0)
        --side->second.offer.running;
    item.answer.outcome = outcome;
    item.answer.code = std::move(code);
    item.callback(item.answer);
}

} // namespace tamarack
