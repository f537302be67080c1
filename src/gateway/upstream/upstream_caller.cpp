// Runs one attempt: connection, response head and body, and the outcome of each failure.
#include <tamarackglade/attribution/response_verdict.hpp>
#include <tamarackglade/events/event_splitter.hpp>
#include <tamarackglade/gateway/upstream/upstream_caller.hpp>
#include <tamarackglade/runtime/boot_now.hpp>

#include <absl/strings/match.h>

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

constexpr std::size_t MaxResponseBytes = 16 * 1024 * 1024; // of a body that is no event stream
constexpr std::size_t MaxBufferedBytes = 32 * 1024 * 1024; // of all such bodies in progress
constexpr std::size_t MaxRefusalBytes = 16 * 1024; // of a body that is discarded
constexpr std::chrono::seconds MaxOperationTime{60}; // of one read or write
constexpr unsigned Misdirected = 421; // another upstream is at the address
constexpr std::chrono::milliseconds ConnectTimeout{400};
constexpr absl::string_view EventStreamType = "text/event-stream";

// Sets the time by which the response has to make progress: a head, a body part or an event that is
// new to the caller.
void setProgressDeadline(http_client &client, const attempt_limits &limits, bool streamStarted)
{
    time_point until = limits.deadline;
    if (limits.silenceTimeout > duration::zero())
        until = std::min(until, bootNow() + limits.silenceTimeout);
    if (!streamStarted && limits.firstEventDeadline)
        until = std::min(until, *limits.firstEventDeadline);
    client.setDeadline(until);
}

attempt_result failureOf(const absl::Status &status, const attempt_limits &limits)
{
    attempt_result result;
    result.reason = std::string(status.message());
    if (bootNow() >= limits.deadline)
        result.outcome = attempt_outcome::DeadlineExceeded;
    else if (absl::IsDeadlineExceeded(status))
        result.outcome = attempt_outcome::Silent;
    else
        result.outcome = attempt_outcome::Broken;
    return result;
}

// Another upstream may have the address by now, and other bytes may look like a response.
bool showsItsSender(response_verdict verdict, unsigned status)
{
    return verdict == response_verdict::Answer
           || (verdict == response_verdict::NotRun && status != Misdirected);
}

response_facts factsOf(const http_response &head, const response_metadata &metadata)
{
    return {head.status, metadata.answeredRequest, metadata.instance, metadata.isSigned,
            metadata.notRun};
}

/// Counts the bytes of one body in the total of all bodies, until its end.
class buffered_bytes
{
public:
    explicit buffered_bytes(std::size_t &total) : m_total(total) { }
    buffered_bytes(const buffered_bytes &) = delete;
    buffered_bytes &operator=(const buffered_bytes &) = delete;
    ~buffered_bytes() { m_total -= m_own; }

    void add(std::size_t bytes)
    {
        m_own += bytes;
        m_total += bytes;
    }

private:
    std::size_t &m_total;
    std::size_t m_own = 0;
};

// Routes without streams may pass on event streams too. An empty one is whole only if its response
// is delimited.
bool isCutEventStream(const http_response &response, bool isDelimited)
{
    if (!absl::StartsWithIgnoreCase(response.contentType, EventStreamType))
        return false;
    event_splitter splitter;
    splitter.feed(response.body);
    bool hasEvent = false;
    while (const auto event = splitter.next())
        hasEvent = hasEvent || hasContent(*event);
    return splitter.hasPartial() || (!hasEvent && !isDelimited);
}

attempt_result makeResult(attempt_outcome outcome, std::string reason)
{
    attempt_result result;
    result.outcome = outcome;
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
                                    stream_progress &progress, response_sink &sink,
                                    attempt_handle &handle)
{
    if (handle.aborted())
        return makeResult(attempt_outcome::Cancelled, "aborted");
    pooled_client pooled = m_pool.acquire(upstream.address, limits.maxIdleTime, id);
    auto &client = pooled.client;
    client->setTimeout(MaxOperationTime);
    setProgressDeadline(*client, limits, false);
    client->setConnectTimeout(ConnectTimeout);
    handle.m_client = client.get();
    attempt_evidence evidence;
    evidence.before = pooled.history;
    evidence.idleFor = pooled.idleFor;
    pooled.history.onSent(id);
    const time_point sentAt = bootNow();
    const auto head = client->start(request);
    attempt_result result;
    response_metadata metadata;
    if (!head.ok()) {
        result = failureOf(head.status(), limits);
        result.connected = !absl::IsUnavailable(head.status());
        result.isUnsendable = absl::IsInvalidArgument(head.status());
        if (!result.connected || result.isUnsendable)
            result.outcome = attempt_outcome::NotRun;
        if (result.outcome == attempt_outcome::Broken && pooled.idleFor) {
            result.wasDropped = true;
            m_pool.onDropped(upstream.address, *pooled.idleFor);
        }
    } else {
        metadata = m_protocol.decodeResponseHead(*head);
        pooled.history.onResponse(metadata.answeredRequest.has_value());
        evidence.headAfter = bootNow() - sentAt;
        evidence.response = factsOf(*head, metadata);
        const response_verdict verdict = judgeResponse(*evidence.response, id, evidence.before);
        if (showsItsSender(verdict, head->status))
            notifyListeners(upstream, metadata);
        result = readResponse(*client, *head, metadata, verdict, streamed, limits, progress, sink);
    }
    handle.m_client = nullptr;
    if (handle.aborted()) {
        client->close();
        result = makeResult(attempt_outcome::Cancelled, "aborted");
    }
    result.evidence = std::move(evidence);
    const bool whole = result.outcome == attempt_outcome::Complete
                       || result.outcome == attempt_outcome::Answered
                       || result.outcome == attempt_outcome::NotRun;
    if (whole && client->idle())
        m_pool.release(upstream.address, std::move(pooled), metadata.keepAlive);
    else
        client->close();
    return result;
}

void upstream_caller::notifyListeners(const live_upstream &upstream,
                                      const response_metadata &metadata)
{
    for (response_listener *listener : m_listeners)
        listener->onResponse(upstream, metadata);
}

attempt_result upstream_caller::readResponse(http_client &client, const http_response &head,
                                             const response_metadata &metadata,
                                             response_verdict verdict, bool streamed,
                                             const attempt_limits &limits,
                                             stream_progress &progress, response_sink &sink)
{
    if (verdict == response_verdict::NotRun) {
        attempt_result refused = readBody(client, head, metadata, limits, MaxRefusalBytes);
        refused.outcome = attempt_outcome::NotRun;
        refused.reason = "refused with status " + std::to_string(head.status);
        return refused;
    }
    if (verdict != response_verdict::Answer) {
        client.close();
        return makeResult(attempt_outcome::Broken, rejectionReason(verdict));
    }
    const bool success = head.status >= 200 && head.status < 300;
    if (!success || !streamed)
        return readBody(client, head, metadata, limits, MaxResponseBytes);
    if (!sink.onHead(head, metadata))
        return makeResult(attempt_outcome::Cancelled, "caller gone");
    return readStream(client, limits, progress, sink);
}

attempt_result upstream_caller::readStream(http_client &client, const attempt_limits &limits,
                                           stream_progress &progress, response_sink &sink)
{
    event_splitter splitter;
    const bool isDelimited = client.isDelimited();
    bool hasNewEvent = false;
    setProgressDeadline(client, limits, false);
    for (;;) {
        const auto part = client.readSome();
        if (!part.ok() && splitter.hasPartial())
            progress.setUnfinished();
        if (!part.ok())
            return failureOf(part.status(), limits);
        if (part->empty())
            break;
        splitter.feed(*part);
        while (const auto event = splitter.next()) {
            const event_check verdict = progress.advance(*event);
            if (verdict == event_check::Gap)
                return makeResult(attempt_outcome::Broken, "gap in the event ids of the stream");
            if (verdict != event_check::Pass)
                continue;
            hasNewEvent = hasNewEvent || hasContent(*event);
            setProgressDeadline(client, limits, true);
            if (!sink.onEvent(*event))
                return makeResult(attempt_outcome::Cancelled, "caller gone");
        }
        if (splitter.tooLong())
            return makeResult(attempt_outcome::Broken, "stream event exceeds the size limit");
        if (!sink.onFlush())
            return makeResult(attempt_outcome::Cancelled, "caller gone");
    }
    if (splitter.hasPartial()) {
        progress.setUnfinished();
        return makeResult(attempt_outcome::Broken, "stream ended in the middle of an event");
    }
    // A resumed stream may have nothing left, but only a delimited response shows that it ended.
    const bool mayBeEmpty = isDelimited && progress.last() && !progress.isUnfinished();
    if (hasNewEvent || mayBeEmpty)
        return makeResult(attempt_outcome::Complete, "");
    attempt_result result =
        makeResult(attempt_outcome::Broken, "stream ended before its first event");
    result.endedWithoutEvent = true;
    return result;
}

attempt_result upstream_caller::readBody(http_client &client, const http_response &head,
                                         const response_metadata &metadata,
                                         const attempt_limits &limits, std::size_t maxBytes)
{
    attempt_result result;
    result.outcome = attempt_outcome::Answered;
    result.response.status = head.status;
    result.response.contentType = head.contentType;
    result.metadata = metadata;
    const bool isDelimited = client.isDelimited();
    buffered_bytes buffered(m_bufferedBytes);
    for (;;) {
        setProgressDeadline(client, limits, true);
        const auto part = client.readSome();
        if (!part.ok())
            return failureOf(part.status(), limits);
        if (part->empty())
            return isCutEventStream(result.response, isDelimited)
                       ? makeResult(attempt_outcome::Broken, "event stream ended early")
                       : result;
        result.response.body += *part;
        buffered.add(part->size());
        if (result.response.body.size() > maxBytes || m_bufferedBytes > MaxBufferedBytes) {
            client.close();
            return makeResult(attempt_outcome::Broken, "response body exceeds the size limit");
        }
    }
}

} // namespace tamarack
