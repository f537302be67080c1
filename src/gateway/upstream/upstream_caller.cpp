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
constexpr const char *NoRoom = "responses hold too many bytes";
constexpr std::size_t MaxRefusalBytes = 16 * 1024; // of a body that is discarded
constexpr std::chrono::seconds MaxOperationTime{60}; // of one read or write
constexpr unsigned MaxSkippedCopies = 2; // for one request
constexpr std::size_t MaxSkippedBytes = 1024 * 1024; // of the body of such a copy
constexpr unsigned StatusOk = 200; // the only status of a stream
constexpr unsigned Misdirected = 421; // another upstream is at the address
constexpr std::chrono::milliseconds ConnectTimeout{400};
constexpr std::chrono::milliseconds MinConnectTimeout{1};
constexpr std::chrono::milliseconds StartCheckTimeout{150};
constexpr std::size_t MaxStateBytes = 256 * 1024; // of what an upstream states about itself
constexpr absl::string_view EventStreamType = "text/event-stream";

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

std::chrono::milliseconds connectTimeout(const attempt_limits &limits)
{
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(limits.deadline - bootNow());
    return std::clamp(left, MinConnectTimeout, ConnectTimeout);
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

absl::Status skipBody(http_client &client)
{
    std::size_t bytes = 0;
    for (;;) {
        const auto part = client.readSome();
        if (!part.ok())
            return part.status();
        if (part->empty())
            return absl::OkStatus();
        bytes += part->size();
        if (bytes > MaxSkippedBytes)
            return absl::AbortedError("late copy of a response exceeds the size limit");
    }
}

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

// A success without content, of a part or of another type says nothing about the rest of a stream.
bool goesOnWithStream(const http_response &head)
{
    const bool isOtherType =
        !head.contentType.empty() && !absl::StartsWithIgnoreCase(head.contentType, EventStreamType);
    return head.status == StatusOk && !isOtherType;
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

struct upstream_caller::attempt
{
    const live_upstream &upstream;
    const http_client_request &request;
    const request_id &id;
    bool streamed;
    const attempt_limits &limits;
    stream_progress &progress;
    response_sink &sink;
};

attempt_result upstream_caller::run(const live_upstream &upstream,
                                    const http_client_request &request, const request_id &id,
                                    bool streamed, const attempt_limits &limits,
                                    stream_progress &progress, response_sink &sink,
                                    attempt_handle &handle)
{
    if (handle.aborted())
        return makeResult(attempt_outcome::Cancelled, "aborted");
    const attempt call{upstream, request, id, streamed, limits, progress, sink};
    pooled_client pooled = m_pool.acquire(upstream.address, limits.maxIdleTime, id);
    http_client &client = *pooled.client;
    client.setTimeout(MaxOperationTime);
    client.setConnectTimeout(connectTimeout(limits));
    handle.m_client = &client;
    attempt_result result;
    attempt_evidence evidence;
    evidence.before = pooled.history;
    evidence.idleFor = pooled.idleFor;
    if (auto unsent = checkStart(call, pooled, evidence))
        result = std::move(*unsent);
    else if (!handle.aborted())
        result = exchange(call, pooled, evidence);
    handle.m_client = nullptr;
    if (handle.aborted()) {
        client.close();
        result = makeResult(attempt_outcome::Cancelled, "aborted");
    }
    result.evidence = std::move(evidence);
    const bool whole = result.outcome == attempt_outcome::Complete
                       || result.outcome == attempt_outcome::Answered
                       || result.outcome == attempt_outcome::NotRun;
    if (whole && client.idle())
        m_pool.release(upstream.address, std::move(pooled));
    else
        client.close();
    return result;
}

// The answer holds for the request if both use one connection: its other end is one process.
std::optional<attempt_result>
upstream_caller::checkStart(const attempt &call, pooled_client &pooled, attempt_evidence &evidence)
{
    const incarnation_number expected = call.upstream.incarnation;
    if (call.limits.startCheck == start_check::None || expected == incarnation_number())
        return std::nullopt;
    http_client &client = *pooled.client;
    const time_point askedAt = bootNow();
    client.setDeadline(std::min(call.limits.deadline, askedAt + StartCheckTimeout));
    http_client_request query = m_protocol.encodeStateQuery();
    query.host = call.request.host;
    const auto answer = client.fetch(query, MaxStateBytes);
    const auto start = answer.ok() ? m_protocol.decodeStart(*answer) : std::nullopt;
    evidence.startAfter = bootNow() - askedAt;
    if (!answer.ok())
        evidence.start = start_evidence::Unanswered;
    else if (start && *start == expected)
        evidence.start = start_evidence::Confirmed;
    else
        evidence.start = start_evidence::Different;
    if (start && m_startListener != nullptr)
        m_startListener->onStart(call.upstream.id, *start);
    if (evidence.start == start_evidence::Confirmed && client.reusable())
        return std::nullopt;
    client.close();
    const bool unreachable = absl::IsUnavailable(answer.status());
    if (call.limits.startCheck == start_check::Required || unreachable) {
        attempt_result result = makeResult(attempt_outcome::NotRun,
                                           answer.ok() ? "the start of its record isn't confirmed"
                                                       : std::string(answer.status().message()));
        result.connected = answer.ok();
        return result;
    }
    call.sink.onUnknownStart();
    pooled.history = connection_history();
    pooled.idleFor.reset();
    evidence.before = pooled.history;
    evidence.idleFor.reset();
    return std::nullopt;
}

attempt_result upstream_caller::exchange(const attempt &call, pooled_client &pooled,
                                         attempt_evidence &evidence)
{
    pooled.history.onSent(call.id);
    const time_point sentAt = bootNow();
    run_watch watch(*pooled.client, call.limits, call.sink);
    watch.onWait();
    const auto head = sendRequest(call, *pooled.client, evidence);
    attempt_result result;
    if (!head.ok()) {
        result = failToSend(call, pooled, head.status());
    } else {
        const response_metadata metadata = m_protocol.decodeResponseHead(*head);
        pooled.history.onResponse(metadata.answeredRequest.has_value());
        pooled.keepAlive = metadata.keepAlive;
        evidence.headAfter = bootNow() - sentAt;
        evidence.response = factsOf(*head, metadata);
        const response_verdict verdict =
            judgeResponse(*evidence.response, call.id, evidence.before);
        if (showsItsSender(verdict, head->status))
            notifyListeners(call.upstream, metadata);
        result = readResponse(call, *pooled.client, watch, *head, metadata, verdict);
    }
    evidence.silentFor = watch.silentFor();
    return result;
}

absl::StatusOr<http_response> upstream_caller::sendRequest(const attempt &call, http_client &client,
                                                           attempt_evidence &evidence)
{
    auto head = client.start(call.request);
    while (head.ok() && evidence.skippedCopies < MaxSkippedCopies
           && isCopyOfEarlier(factsOf(*head, m_protocol.decodeResponseHead(*head)), call.id,
                              evidence.before)) {
        ++evidence.skippedCopies;
        const absl::Status skipped = skipBody(client);
        if (!skipped.ok())
            return skipped;
        head = client.readHead();
    }
    return head;
}

attempt_result upstream_caller::failToSend(const attempt &call, const pooled_client &pooled,
                                           const absl::Status &status)
{
    attempt_result result = failureOf(status, call.limits);
    result.connected = !absl::IsUnavailable(status);
    result.isUnsendable = absl::IsInvalidArgument(status);
    if (!result.connected || result.isUnsendable)
        result.outcome = attempt_outcome::NotRun;
    if (result.outcome == attempt_outcome::Broken && pooled.idleFor) {
        result.wasDropped = true;
        m_pool.onDropped(call.upstream.address, *pooled.idleFor);
    }
    return result;
}

void upstream_caller::notifyListeners(const live_upstream &upstream,
                                      const response_metadata &metadata)
{
    for (response_listener *listener : m_listeners)
        listener->onResponse(upstream, metadata);
}

attempt_result upstream_caller::readResponse(const attempt &call, http_client &client,
                                             run_watch &watch, const http_response &head,
                                             const response_metadata &metadata,
                                             response_verdict verdict)
{
    if (verdict == response_verdict::NotRun) {
        attempt_result refused = readBody(call, client, watch, head, metadata, MaxRefusalBytes);
        refused.outcome = attempt_outcome::NotRun;
        refused.reason = "refused with status " + std::to_string(head.status);
        return refused;
    }
    if (verdict != response_verdict::Answer) {
        client.close();
        return makeResult(attempt_outcome::Broken, rejectionReason(verdict));
    }
    if (call.streamed && call.progress.last() && isSuccess(head.status)
        && !goesOnWithStream(head)) {
        client.close();
        return makeResult(attempt_outcome::Broken, "response doesn't go on with the stream");
    }
    if (!call.streamed || head.status != StatusOk)
        return readBody(call, client, watch, head, metadata, MaxResponseBytes);
    if (!call.sink.onHead(head, metadata))
        return makeResult(attempt_outcome::Cancelled, "caller gone");
    return readStream(call, client, watch);
}

attempt_result upstream_caller::readStream(const attempt &call, http_client &client,
                                           run_watch &watch)
{
    stream_progress &progress = call.progress;
    response_sink &sink = call.sink;
    event_splitter splitter;
    byte_quota::share held(m_responseBytes);
    const bool isDelimited = client.isDelimited();
    bool hasNewEvent = false;
    watch.onWait();
    for (;;) {
        const auto part = client.readSome();
        if (!part.ok() && splitter.hasPartial())
            progress.setUnfinished();
        if (!part.ok())
            return failureOf(part.status(), call.limits);
        if (part->empty())
            break;
        splitter.feed(*part);
        const bool hasRoom = held.set(splitter.heldBytes());
        bool hasGap = false;
        while (const auto event = splitter.next()) {
            const event_check verdict = progress.advance(*event);
            hasGap = verdict == event_check::Gap;
            if (hasGap)
                break;
            if (verdict != event_check::Pass)
                continue;
            hasNewEvent = hasNewEvent || hasContent(*event);
            watch.onProgress(true);
            if (!sink.onEvent(*event))
                return makeResult(attempt_outcome::Cancelled, "caller gone");
        }
        // Sent before a fault ends the attempt: the next run goes on after the last parsed event.
        if (!sink.onFlush())
            return makeResult(attempt_outcome::Cancelled, "caller gone");
        if (hasGap)
            return makeResult(attempt_outcome::Broken, "gap in the event ids of the stream");
        if (!hasRoom)
            return makeResult(attempt_outcome::Broken, NoRoom);
        if (splitter.tooLong())
            return makeResult(attempt_outcome::Broken, "stream event exceeds the size limit");
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

attempt_result upstream_caller::readBody(const attempt &call, http_client &client, run_watch &watch,
                                         const http_response &head,
                                         const response_metadata &metadata, std::size_t maxBytes)
{
    attempt_result result;
    result.outcome = attempt_outcome::Answered;
    result.response.status = head.status;
    result.response.contentType = head.contentType;
    result.metadata = metadata;
    const bool isDelimited = client.isDelimited();
    byte_quota::share held(m_responseBytes);
    for (;;) {
        watch.onProgress(true);
        const auto part = client.readSome();
        if (!part.ok())
            return failureOf(part.status(), call.limits);
        if (part->empty())
            return isCutEventStream(result.response, isDelimited)
                       ? makeResult(attempt_outcome::Broken, "event stream ended early")
                       : result;
        result.response.body += *part;
        const bool hasRoom = held.set(result.response.body.size());
        if (hasRoom && result.response.body.size() <= maxBytes)
            continue;
        client.close();
        return makeResult(attempt_outcome::Broken,
                          hasRoom ? "response body exceeds the size limit" : NoRoom);
    }
}

} // namespace tamarack
