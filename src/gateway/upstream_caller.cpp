// One attempt: connection, head, body, and what each failure proves.
#include <tamarackglade/events/event_splitter.hpp>
#include <tamarackglade/gateway/upstream_caller.hpp>
#include <tamarackglade/runtime/boot_now.hpp>

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

constexpr std::size_t LargestWholeAnswer = 64 * 1024 * 1024; // bytes
constexpr std::chrono::milliseconds LeastTimeout{1};
constexpr std::chrono::milliseconds ConnectTimeout{400};

// Sets the timeout of the next read or write.
void limitNextRead(http_client &client, const attempt_limits &limits, bool begun)
{
    const time_point now = bootNow();
    duration left = limits.deadline - now;
    if (limits.silence > duration::zero())
        left = std::min(left, limits.silence);
    if (!begun && limits.firstEventBy)
        left = std::min(left, *limits.firstEventBy - now);
    client.setTimeout(
        std::max(LeastTimeout, std::chrono::duration_cast<std::chrono::milliseconds>(left)));
}

attempt_result failureOf(const absl::Status &status, const attempt_limits &limits)
{
    attempt_result result;
    result.reason = std::string(status.message());
    if (bootNow() >= limits.deadline)
        result.end = attempt_end::OutOfTime;
    else if (absl::IsDeadlineExceeded(status))
        result.end = attempt_end::Silent;
    else
        result.end = attempt_end::Broken;
    return result;
}

attempt_result endedBy(attempt_end end, std::string reason)
{
    attempt_result result;
    result.end = end;
    result.reason = std::move(reason);
    return result;
}

} // namespace

void attempt_handle::abort()
{
    m_aborted = true;
    if (m_client != nullptr)
        m_client->abort();
}

attempt_result upstream_caller::run(const live_upstream &upstream,
                                    const http_client_request &request, const request_id &id,
                                    bool streamed, const attempt_limits &limits,
                                    stream_progress &progress, answer_sink &sink,
                                    attempt_handle &handle)
{
    if (handle.aborted())
        return endedBy(attempt_end::Unwanted, "aborted");
    pooled_client pooled = m_pool.take(upstream.address, limits.longestIdle);
    auto &client = pooled.client;
    limitNextRead(*client, limits, false);
    client->setConnectTimeout(ConnectTimeout);
    handle.m_client = client.get();
    const auto head = client->start(request);
    attempt_result result;
    answer_facts facts;
    if (!head.ok()) {
        result = failureOf(head.status(), limits);
        if (absl::IsUnavailable(head.status())) {
            result.end = attempt_end::NotRun;
            result.connected = false;
        }
        if (result.end == attempt_end::Broken && pooled.idleFor) {
            result.wasDropped = true;
            m_pool.onDropped(upstream.address, *pooled.idleFor);
        }
    } else {
        facts = m_protocol.decodeAnswer(*head);
        if (facts.answeredRequest && *facts.answeredRequest != id) {
            client->close();
            result = endedBy(attempt_end::Broken, "answer to another request");
        } else {
            result = readAnswer(*client, *head, facts, streamed, limits, progress, sink);
        }
    }
    handle.m_client = nullptr;
    if (handle.aborted()) {
        client->close();
        return endedBy(attempt_end::Unwanted, "aborted");
    }
    const bool whole = result.end == attempt_end::Complete || result.end == attempt_end::Answered
                       || result.end == attempt_end::NotRun;
    if (whole && client->idle())
        m_pool.give(upstream.address, std::move(client), facts.keepAlive);
    else
        client->close();
    return result;
}

attempt_result upstream_caller::readAnswer(http_client &client, const http_response &head,
                                           const answer_facts &facts, bool streamed,
                                           const attempt_limits &limits, stream_progress &progress,
                                           answer_sink &sink)
{
    if (facts.notRun) {
        attempt_result refused = readWhole(client, head, facts, limits);
        refused.end = attempt_end::NotRun;
        refused.reason = "refused with " + std::to_string(head.status);
        return refused;
    }
    if (!facts.genuine) {
        client.close();
        return endedBy(attempt_end::Broken, "answer without a signature");
    }
    const bool success = head.status >= 200 && head.status < 300;
    if (!success || !streamed)
        return readWhole(client, head, facts, limits);
    if (!sink.onHead(head, facts))
        return endedBy(attempt_end::Unwanted, "caller gone");
    return readStream(client, limits, progress, sink);
}

attempt_result upstream_caller::readStream(http_client &client, const attempt_limits &limits,
                                           stream_progress &progress, answer_sink &sink)
{
    event_splitter splitter;
    bool begun = false;
    for (;;) {
        limitNextRead(client, limits, begun);
        const auto part = client.readSome();
        if (!part.ok())
            return failureOf(part.status(), limits);
        if (part->empty())
            break;
        splitter.feed(*part);
        while (const auto event = splitter.next()) {
            begun = true;
            const event_check verdict = progress.advance(*event);
            if (verdict == event_check::Gap)
                return endedBy(attempt_end::Broken, "an event is missing");
            if (verdict == event_check::Pass && !sink.onEvent(*event))
                return endedBy(attempt_end::Unwanted, "caller gone");
        }
        if (splitter.tooLong())
            return endedBy(attempt_end::Broken, "an event is too long");
        if (!sink.onPause())
            return endedBy(attempt_end::Unwanted, "caller gone");
    }
    if (splitter.hasPartial())
        return endedBy(attempt_end::Broken, "ended in the middle of an event");
    return endedBy(attempt_end::Complete, "");
}

attempt_result upstream_caller::readWhole(http_client &client, const http_response &head,
                                          const answer_facts &facts, const attempt_limits &limits)
{
    attempt_result result;
    result.end = attempt_end::Answered;
    result.response.status = head.status;
    result.facts = facts;
    for (;;) {
        limitNextRead(client, limits, true);
        const auto part = client.readSome();
        if (!part.ok())
            return failureOf(part.status(), limits);
        if (part->empty())
            return result;
        result.response.body += *part;
        if (result.response.body.size() > LargestWholeAnswer)
            return endedBy(attempt_end::Broken, "the answer is too long");
    }
}

} // namespace tamarack
