// Sends the request and passes the parts of its response to the events.
#include <tamarackglade/side/upstream_call.hpp>

#include <utility>

namespace tamarack {

upstream_call::upstream_call(io_thread &thread, const std::string &address,
                             upstream_request request, std::shared_ptr<upstream_events> events)
    : m_thread(thread), m_client(thread.io(), address), m_request(std::move(request)),
      m_events(std::move(events))
{
}

void upstream_call::start()
{
    m_thread.spawn([self = shared_from_this()] { self->run(); });
}

void upstream_call::abort()
{
    m_aborted = true;
    m_client.abort();
}

void upstream_call::run()
{
    if (m_aborted) {
        m_events->onEnd(upstream_end::Aborted, "cancelled before it was sent");
        return;
    }
    http_client_request request;
    request.method = m_request.method;
    request.target = m_request.target;
    request.contentType = m_request.contentType;
    request.body = std::move(m_request.body);
    request.headers.emplace_back("X-Request-Id", m_request.requestId);
    m_client.setTimeout(m_request.timeout);
    const auto head = m_client.start(request);
    if (!head.ok()) {
        reportFailure(head.status(), !absl::IsUnavailable(head.status()));
        return;
    }
    m_events->onHead(head->status, head->contentType);
    for (;;) {
        auto part = m_client.readSome();
        if (!part.ok()) {
            reportFailure(part.status(), true);
            return;
        }
        if (part->empty())
            break;
        if (!m_events->onData(std::move(*part))) {
            m_client.close();
            m_events->onEnd(upstream_end::Broken, "no memory for the rest of the response");
            return;
        }
    }
    m_events->onEnd(upstream_end::Complete, "");
}

void upstream_call::reportFailure(const absl::Status &failure, bool sent)
{
    const std::string message(failure.message());
    if (m_aborted)
        m_events->onEnd(upstream_end::Aborted, message);
    else if (!sent)
        m_events->onEnd(upstream_end::NotSent, message);
    else if (absl::IsDeadlineExceeded(failure))
        m_events->onEnd(upstream_end::TimedOut, message);
    else
        m_events->onEnd(upstream_end::Broken, message);
}

} // namespace tamarack
