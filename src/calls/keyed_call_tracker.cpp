// Claims Idempotency-Keys through the log.
#include <tamarackglade/calls/keyed_call_tracker.hpp>
#include <tamarackglade/calls/make_call_error.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

constexpr duration LogRetryAfter = std::chrono::seconds(5);

schema::call_execution toRecord(execution ran)
{
    switch (ran) {
    case execution::No:
        return schema::call_execution::No;
    case execution::Yes:
        return schema::call_execution::Yes;
    case execution::Unknown:
        break;
    }
    return schema::call_execution::Unknown;
}

} // namespace

keyed_call_tracker::keyed_call_tracker(const idempotency_index &index, std::string callIdPrefix,
                                       duration claimTimeout, std::size_t maxKeptBodyBytes,
                                       keyed_mutation mutation)
    : m_index(index), m_callIdPrefix(std::move(callIdPrefix)), m_claimTimeout(claimTimeout),
      m_maxKeptBodyBytes(maxKeptBodyBytes), m_mutation(mutation)
{
}

keyed_actions keyed_call_tracker::onRequest(const keyed_request &request, bool logAvailable,
                                            time_point now)
{
    if (auto answer = answerFromIndex(request))
        return {std::move(*answer)};
    if (!logAvailable)
        return {refusal(request.id, call_failure::LogUnavailable, execution::No)};
    keyed_call call;
    call.request = request;
    call.callId = absl::StrCat(m_callIdPrefix, "/", ++m_lastCall);
    call.claimDeadline = std::min(request.deadline, now + m_claimTimeout);
    append_started append;
    append.record.customer = request.customer.value();
    append.record.key = request.key;
    append.record.request_digest = request.requestDigest;
    append.record.call_id = call.callId;
    m_waiting.emplace(request.id.value(), std::move(call));
    return {std::move(append)};
}

keyed_actions keyed_call_tracker::onFolded(time_point now)
{
    keyed_actions actions;
    std::vector<std::string> decided;
    for (const auto &[id, call] : m_waiting) {
        if (call.claimDeadline > now && m_index.find(call.request.customer, call.request.key))
            decided.push_back(id);
    }
    std::sort(decided.begin(), decided.end());
    for (const auto &id : decided) {
        auto node = m_waiting.extract(id);
        const auto &call = node.mapped();
        const auto *holder = m_index.find(call.request.customer, call.request.key);
        if (holder->callId == call.callId || m_mutation == keyed_mutation::RunUnclaimed) {
            actions.emplace_back(run_keyed{call.request.id});
            m_running.insert(std::move(node));
        } else {
            actions.push_back(*answerFromIndex(call.request));
            // Without this release, the claim would hold the key once the log drops the holder's
            // record.
            actions.emplace_back(append_finished{finishedRecord(call, execution::No)});
        }
    }
    return actions;
}

keyed_actions keyed_call_tracker::onCallEnded(const request_id &request, execution ran,
                                              std::uint16_t status, const std::string &contentType,
                                              const std::vector<std::uint8_t> &body)
{
    const auto node = m_running.extract(request.value());
    if (node.empty())
        return {};
    append_finished append{finishedRecord(node.mapped(), ran)};
    if (ran == execution::Yes && body.size() <= m_maxKeptBodyBytes) {
        append.record.status = status;
        append.record.content_type = contentType;
        append.record.body = body;
    }
    return {std::move(append)};
}

keyed_actions keyed_call_tracker::tick(time_point now)
{
    keyed_actions actions;
    std::vector<std::string> late;
    for (const auto &[id, call] : m_waiting) {
        if (call.claimDeadline <= now)
            late.push_back(id);
    }
    std::sort(late.begin(), late.end());
    for (const auto &id : late) {
        const auto node = m_waiting.extract(id);
        // The claim may still reach the log; its release frees the key for a resend.
        actions.emplace_back(append_finished{finishedRecord(node.mapped(), execution::No)});
        actions.emplace_back(refusal(request_id(id), call_failure::LogUnavailable, execution::No));
    }
    return actions;
}

std::optional<keyed_action> keyed_call_tracker::answerFromIndex(const keyed_request &request) const
{
    const auto *state = m_index.find(request.customer, request.key);
    if (!state)
        return std::nullopt;
    if (state->requestDigest != request.requestDigest)
        return refusal(request.id, call_failure::KeyReused, execution::No);
    if (state->finished && state->status != 0)
        return replay_answer{request.id, *state};
    const auto ran = state->finished ? execution::Yes : execution::Unknown;
    return refusal(request.id, call_failure::Duplicate, ran);
}

caller_end keyed_call_tracker::refusal(const request_id &request, call_failure failure,
                                       execution ran)
{
    return {request, ran, makeCallError(failure, ran, LogRetryAfter), false};
}

schema::call_finished_message keyed_call_tracker::finishedRecord(const keyed_call &call,
                                                                 execution ran)
{
    schema::call_finished_message record;
    record.customer = call.request.customer.value();
    record.key = call.request.key;
    record.call_id = call.callId;
    record.execution = toRecord(ran);
    return record;
}

} // namespace tamarack
