// Loop over an answer's events. The key is checked at each wake-up; the caller's connection and the
// deadline are checked when no event arrives within CheckInterval.
#include <tamarackglade/entry/answer_relay.hpp>
#include <tamarackglade/entry/upstream_message.hpp>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds CheckInterval{250};
constexpr std::string_view StreamEnd = "data: [DONE]";
constexpr std::size_t MaxTailBytes = 64;
constexpr std::size_t MaxWriteBytes = 256 * 1024; // of parts that are written together
constexpr std::size_t MaxErrorBytes = 64 * 1024; // of an error's body, for its message
constexpr unsigned ServerErrorStatus = 500;

api_error withdrawnKeyError()
{
    return {401,
            "authentication_error",
            "key_withdrawn",
            "the API key was withdrawn during the request",
            execution::Unknown,
            std::nullopt};
}

api_error timeoutError()
{
    return {504,
            "timeout_error",
            "deadline_exceeded",
            "the answer was not complete before the deadline",
            execution::Unknown,
            std::nullopt};
}

api_error processEndsError()
{
    return {502,
            "upstream_error",
            "entry_stopping",
            "the entry stopped before the answer was complete",
            execution::Unknown,
            std::nullopt};
}

// Copies a call under another id, for the mutation RunTwice.
call_request duplicateCall(call_request call)
{
    call.id = request_id(call.id.value() + "_again");
    return call;
}

burn_result burnResultOf(const api_error &error)
{
    if (error.status < ServerErrorStatus)
        return burn_result::NotCounted;
    return error.ran == execution::No ? burn_result::Refused : burn_result::Failed;
}

} // namespace

answer_relay::answer_relay(entry_context &context, const caller_request &request)
    : m_context(context), m_request(request),
      m_channel(std::make_shared<answer_channel>(context.answerBytes)), m_started(clock::now()),
      m_deadline(m_started), m_configVersion(context.config.version())
{
}

void answer_relay::run(call_request call)
{
    if (m_context.mutation == shell_mutation::ForwardKey)
        call.contentType +=
            "; key=" + std::string(m_request.exchange.request().header("authorization"));
    if (m_context.mutation == shell_mutation::RunTwice)
        m_context.calls.start(duplicateCall(call),
                              std::make_shared<answer_channel>(m_context.answerBytes));
    m_deadline = m_started + call.timeout;
    m_burn.streamed = call.streamed;
    m_burn.gaps = burn_counter::gapsFor(*m_request.config->inForce, m_request.from.customer,
                                        objective_class::Online);
    m_context.calls.start(call, m_channel);
    while (!m_finished) {
        answer_event event;
        const wait_result waited = waitForEvent(event);
        if (waited == wait_result::Event) {
            if (const auto *head = std::get_if<answer_head>(&event))
                relayHead(*head, call);
            else if (auto *data = std::get_if<answer_data>(&event))
                relayData(std::move(*data));
            else
                relayEnd(std::get<answer_end>(event));
            continue;
        }
        m_context.calls.cancel(call.id);
        if (waited == wait_result::KeyWithdrawn)
            fail(withdrawnKeyError());
        else if (waited == wait_result::TimedOut)
            fail(timeoutError());
        else if (waited == wait_result::ProcessEnds)
            fail(processEndsError());
        else
            m_request.exchange.abortStream();
        if (waited != wait_result::TimedOut && waited != wait_result::ProcessEnds)
            m_burn.result = burn_result::NotCounted;
        m_finished = true;
    }
    if (m_channel->hasOverflowed())
        m_context.calls.cancel(call.id);
    countRequest();
}

answer_relay::wait_result answer_relay::waitForEvent(answer_event &event)
{
    for (;;) {
        // While data flows, a failed write shows that the caller disconnected; callerDisconnected
        // is queried below only when no event arrived.
        if (m_writeFailed)
            return wait_result::CallerDisconnected;
        if (m_context.processEnds)
            return wait_result::ProcessEnds;
        auto next = m_channel->pop(CheckInterval);
        if (!keyStillValid())
            return wait_result::KeyWithdrawn;
        if (next) {
            event = std::move(*next);
            return wait_result::Event;
        }
        if (m_request.exchange.callerDisconnected())
            return wait_result::CallerDisconnected;
        if (clock::now() >= m_deadline)
            return wait_result::TimedOut;
    }
}

bool answer_relay::keyStillValid()
{
    if (m_context.mutation == shell_mutation::KeepWithdrawnStream)
        return true;
    const std::uint64_t version = m_context.config.version();
    if (version == m_configVersion || m_request.from.key.value().empty())
        return true;
    m_configVersion = version;
    return !m_context.config.current()->keys.isWithdrawn(m_request.from.key);
}

void answer_relay::relayHead(const answer_head &head, const call_request &call)
{
    m_head = head;
    observeFirstByte();
    if (!call.streamed || head.status >= 400)
        return;
    http_response response;
    response.status = head.status;
    response.contentType = head.contentType;
    response.headers.emplace_back("X-Request-Id", m_request.id.value());
    response.headers.emplace_back("Cache-Control", "no-cache");
    m_request.exchange.beginStream(response);
    m_streaming = true;
    m_eventStream = absl::StartsWith(head.contentType, "text/event-stream");
}

void answer_relay::relayData(answer_data data)
{
    std::string bytes = std::move(data.bytes);
    std::optional<answer_event> next;
    appendAvailableData(bytes, next);
    if (!m_streaming) {
        m_body += bytes;
        if (m_head.status >= 400 && m_body.size() > MaxErrorBytes)
            m_body.resize(MaxErrorBytes);
    } else {
        m_tail = (m_tail + bytes);
        if (m_tail.size() > MaxTailBytes)
            m_tail.erase(0, m_tail.size() - MaxTailBytes);
        observeGap();
        m_writeFailed = !m_request.exchange.writeChunk(bytes);
    }
    if (next)
        relayEnd(std::get<answer_end>(*next));
}

void answer_relay::appendAvailableData(std::string &bytes, std::optional<answer_event> &next)
{
    while (bytes.size() < MaxWriteBytes) {
        auto event = m_channel->tryPop();
        if (!event)
            return;
        if (const auto *more = std::get_if<answer_data>(&*event)) {
            bytes += more->bytes;
        } else if (std::holds_alternative<answer_end>(*event)) {
            next = std::move(event);
            return;
        }
    }
}

void answer_relay::relayEnd(const answer_end &end)
{
    m_finished = true;
    m_ran = end.error ? end.error->ran : execution::Yes;
    if (end.error) {
        fail(*end.error);
        return;
    }
    if (m_streaming) {
        finishStream();
        return;
    }
    if (m_head.status >= ServerErrorStatus) {
        fail({502, "upstream_error", "upstream_failed", upstreamMessage(m_body), execution::Unknown,
              std::nullopt});
        return;
    }
    if (m_head.status >= 400) {
        fail({static_cast<std::uint16_t>(m_head.status), "invalid_request_error",
              "upstream_refused", upstreamMessage(m_body), execution::Unknown, std::nullopt});
        return;
    }
    http_response response;
    response.status = m_head.status;
    response.contentType = m_head.contentType;
    response.headers.emplace_back("X-Request-Id", m_request.id.value());
    response.body = std::move(m_body);
    m_request.exchange.respond(response);
}

void answer_relay::finishStream()
{
    const bool ended = !m_eventStream || m_tail.find(StreamEnd) != std::string::npos;
    if (ended)
        m_request.exchange.endStream();
    else
        fail({502, "upstream_error", "stream_broken", "the upstream's stream ended early",
              execution::Unknown, std::nullopt});
}

void answer_relay::fail(const api_error &error)
{
    m_burn.result = burnResultOf(error);
    m_context.metrics.add(absl::StrCat("tamarack_errors_total{code=\"", error.code, "\"}"));
    if (!m_streaming) {
        m_request.refuse(error);
        return;
    }
    if (!m_eventStream) {
        m_request.exchange.abortStream();
        return;
    }
    const bool isHidden = m_context.mutation == shell_mutation::EndBrokenStream;
    const std::string last = isHidden ? "[DONE]" : error.toJson(m_request.id);
    m_request.exchange.writeChunk(absl::StrCat("data: ", last, "\n\n"));
    m_request.exchange.endStream();
}

void answer_relay::observeFirstByte()
{
    m_firstByteSeen = true;
    const std::chrono::duration<double> waited = clock::now() - m_started;
    m_context.metrics.observeSeconds("tamarack_first_byte_seconds", "", waited.count());
}

void answer_relay::observeGap()
{
    const auto now = clock::now();
    if (m_burn.firstToken) {
        for (burn_gap &gap : m_burn.gaps)
            gap.add(now - m_lastData);
    } else {
        m_burn.firstToken = now - m_started;
    }
    m_lastData = now;
}

void answer_relay::countRequest()
{
    m_burn.customer = m_request.from.customer;
    m_context.burn.onEvent(*m_request.config, m_burn);
}

} // namespace tamarack
