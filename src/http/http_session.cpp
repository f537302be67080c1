// Reading requests within limits, and writing answers.
#include <tamarackglade/http/detail/http_session.hpp>
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/runtime/steady_now.hpp>

#include <absl/strings/str_cat.h>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/fiber/operations.hpp>

#include <array>

namespace tamarack::detail {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t ReadBytes = 16 * 1024;
// A read request is held up to this many times while it is answered: as it came, as the call that
// is forwarded and as the text that is sent.
constexpr std::size_t CopiesOfBody = 4;
constexpr std::size_t ReadCopies = 2; // while it is read, as its string grows by doubling
// How long a request waits for others to end. Longer than connection_budget::StallTime, after which
// stalled ones are ended.
constexpr std::chrono::milliseconds MaxRoomWait{1'500};
constexpr std::chrono::milliseconds RoomPollInterval{20};
constexpr std::chrono::seconds LogInterval{1}; // at most one line in this time

// The counts are in the metrics; a line names one of the callers.
void logEndedConnection(const std::string &peer, const char *reason)
{
    static thread_local time_point loggedAt{};
    const time_point now = steadyNow();
    if (loggedAt != time_point{} && now - loggedAt < LogInterval)
        return;
    loggedAt = now;
    log_event(log_level::Warning, "caller's connection ended to free memory or descriptors")
        .with("peer", peer)
        .with("reason", reason);
}

} // namespace

http_session::http_session(byte_stream &stream, const http_server_options &options,
                           const http_server::handler &handle, session_registry &registry)
    : m_stream(stream), m_options(options), m_handle(handle), m_registry(registry)
{
}

void http_session::run()
{
    if (!enterBudget()) {
        m_stream.close();
        return;
    }
    while (m_keepAlive && !m_broken && waitForRequest()) {
        ++m_registry.active;
        serveRequest();
        --m_registry.active;
    }
    if (!m_broken)
        m_stream.shutdownSend();
    if (m_unreadBody)
        discardRest();
    m_stream.close();
}

bool http_session::enterBudget()
{
    if (!m_options.budget)
        return true;
    const std::string peer = m_stream.peerAddress();
    m_share = m_options.budget->open(
        [this, peer] {
            logEndedConnection(peer, "ended for others");
            m_stream.close();
        },
        steadyNow());
    if (!m_share)
        logEndedConnection(peer, "too many connections");
    return m_share != nullptr;
}

// Between requests the connection may be closed at any time; from the first byte that was read on
// it is not. Nothing is read while the connection may be closed, but by a stream that can't wait
// without a read.
bool http_session::waitForRequest()
{
    if (m_buffer.size() > 0)
        return true;
    if (m_registry.closed)
        return false;
    setPhase(connection_phase::Idle);
    m_stream.setTimeout(m_options.idleTimeout);
    m_registry.idle.insert(&m_stream);
    boost::system::error_code error;
    m_stream.waitForInput(error);
    const bool hasWaited = error != boost::asio::error::operation_not_supported;
    if (hasWaited)
        m_registry.idle.erase(&m_stream);
    if (hasWaited && error && !m_stream.inputWaiting())
        return false;
    const std::size_t size = m_stream.readSome(m_buffer.prepare(ReadBytes), error);
    m_registry.idle.erase(&m_stream);
    m_buffer.commit(size);
    return size > 0;
}

void http_session::serveRequest()
{
    m_started = false;
    setPhase(connection_phase::Receiving);
    if (readRequest()) {
        m_stream.setTimeout(m_options.writeTimeout);
        setPhase(connection_phase::Running);
        m_handle(*this);
        if (!m_started)
            refuse(500, "internal_error", "the request was not answered");
    } else {
        m_keepAlive = false;
    }
    m_request = http_request{};
    if (m_share)
        m_share->releaseRequest();
}

// Closing with unread data would reset the connection, and the caller might not see the answer.
void http_session::discardRest()
{
    constexpr std::size_t DiscardBytes = 64 * 1024;
    constexpr std::chrono::seconds LingerTime{3};
    // Nobody looks at the bytes, so all connections of the thread share one buffer.
    static thread_local std::array<char, DiscardBytes> discarded;
    setPhase(connection_phase::Idle);
    const auto deadline = std::chrono::steady_clock::now() + LingerTime;
    boost::system::error_code error;
    m_stream.setTimeout(LingerTime);
    while (!error && std::chrono::steady_clock::now() < deadline)
        m_stream.readSome(boost::asio::buffer(discarded), error);
}

bool http_session::readRequest()
{
    request_parser parser;
    m_needMore = false;
    m_inTrailers = false;
    m_trailerBytes = 0;
    parser.header_limit(m_options.headerLimit);
    parser.body_limit(boost::none);
    if (!readHeader(parser))
        return false;
    fillRequestHead(parser.get());
    header_verdict verdict{m_options.bodyLimit, std::nullopt};
    if (m_options.onHeader)
        verdict = m_options.onHeader(m_request);
    if (verdict.refusal) {
        m_keepAlive = false;
        m_unreadBody = true;
        respond(*verdict.refusal);
        return false;
    }
    return readBody(parser, verdict.bodyLimit);
}

bool http_session::readHeader(request_parser &parser)
{
    boost::system::error_code error;
    const auto deadline = std::chrono::steady_clock::now() + m_options.headerTimeout;
    while (!parser.is_header_done()) {
        if (!setReadTimeout(deadline, "the header was sent too slowly"))
            return false;
        feedParser(parser, error);
        if (error) {
            refuseReadError(error);
            return false;
        }
    }
    m_keepAlive = parser.get().keep_alive();
    m_chunked = parser.get().version() >= 11;
    return true;
}

// Reads from the stream at most once, so that the caller looks at its deadline between reads.
// Beast's read_some would go on until the whole header is there.
void http_session::feedParser(request_parser &parser, boost::system::error_code &error)
{
    if ((m_needMore || m_buffer.size() == 0) && !readMore(parser, error))
        return;
    const std::size_t used = parser.put(m_buffer.data(), error);
    m_buffer.consume(used);
    m_trailerBytes += m_inTrailers ? used : 0;
    m_needMore = error == http::error::need_more;
    if (m_needMore)
        error = {};
    if (!error && m_trailerBytes > m_options.headerLimit)
        error = http::error::header_limit;
}

// A part that the parser needs whole, such as a chunk's head or the trailers, is bounded like the
// header: Beast asks for more of it without end.
bool http_session::readMore(const request_parser &parser, boost::system::error_code &error)
{
    if (m_buffer.size() > m_options.headerLimit) {
        error = http::error::header_limit;
        return false;
    }
    const std::size_t size = m_stream.readSome(m_buffer.prepare(ReadBytes), error);
    m_buffer.commit(size);
    if (error == boost::asio::error::eof)
        error = parser.got_some() ? http::error::partial_message : http::error::end_of_stream;
    if (error)
        return false;
    setPhase(connection_phase::Receiving);
    if (!reserve(size * ReadCopies, connection_phase::Waiting))
        error = boost::asio::error::operation_aborted; // it has been refused or ended
    setPhase(connection_phase::Receiving);
    return !error;
}

bool http_session::reserve(std::size_t bytes, connection_phase whileWaiting)
{
    if (waitForRoom(bytes, whileWaiting))
        return true;
    refuse(503, "overloaded", "the process has no memory for the request");
    return false;
}

bool http_session::waitForRoom(std::size_t bytes, connection_phase whileWaiting)
{
    if (!m_share)
        return true;
    const auto deadline = steadyNow() + MaxRoomWait;
    while (!m_share->reserve(bytes, steadyNow())) {
        if (m_share->ended() || steadyNow() >= deadline)
            return false;
        setPhase(whileWaiting);
        boost::this_fiber::sleep_for(RoomPollInterval);
    }
    return true;
}

void http_session::setPhase(connection_phase phase)
{
    if (m_share)
        m_share->setPhase(phase, steadyNow());
}

// Returns false after refusing if the deadline has passed.
bool http_session::setReadTimeout(std::chrono::steady_clock::time_point deadline,
                                  const std::string &lateMessage)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        deadline - std::chrono::steady_clock::now());
    if (left.count() <= 0) {
        refuse(408, "request_timeout", lateMessage);
        return false;
    }
    m_stream.setTimeout(left);
    return true;
}

bool http_session::readBody(request_parser &parser, std::size_t limit)
{
    const auto declared = parser.content_length();
    if (declared && *declared > limit) {
        refuse(413, "body_too_large", absl::StrCat("the body may have at most ", limit, " bytes"));
        return false;
    }
    parser.body_limit(limit);
    if (boost::beast::iequals(m_request.header("expect"), "100-continue") && !parser.is_done())
        writeAll("HTTP/1.1 100 Continue\r\n\r\n");
    return readWholeBody(parser);
}

bool http_session::readWholeBody(request_parser &parser)
{
    auto onChunk = [this](std::uint64_t size, boost::beast::string_view /*extensions*/,
                          boost::system::error_code & /*error*/) { m_inTrailers = size == 0; };
    parser.on_chunk_header(onChunk);
    parser.eager(true); // small chunks are then parsed together
    const auto deadline = std::chrono::steady_clock::now() + m_options.bodyTimeout;
    boost::system::error_code error;
    while (!parser.is_done()) {
        if (!setReadTimeout(deadline, "the body was sent too slowly"))
            return false;
        feedParser(parser, error);
        if (error) {
            refuseReadError(error);
            return false;
        }
    }
    m_request.body = std::move(parser.get().body());
    return reserve(m_request.body.size() * (CopiesOfBody - ReadCopies), connection_phase::Running);
}

void http_session::refuse(unsigned status, const std::string &code, const std::string &message)
{
    m_keepAlive = false;
    m_unreadBody = true;
    http_response response;
    if (m_options.makeError) {
        response = m_options.makeError(status, code, message);
    } else {
        response.status = status;
        response.contentType = "text/plain";
        response.body = absl::StrCat(code, ": ", message, "\n");
    }
    respond(response);
}

void http_session::refuseReadError(const boost::system::error_code &error)
{
    if (error == boost::beast::error::timeout)
        refuse(408, "request_timeout", "the request was sent too slowly");
    else if (error == http::error::body_limit)
        refuse(413, "body_too_large", "the body is too large");
    else if (error == http::error::header_limit)
        refuse(431, "headers_too_large",
               absl::StrCat("the header may have at most ", m_options.headerLimit, " bytes"));
    else if (error.category() == http::make_error_code(http::error::bad_method).category())
        refuse(400, "malformed_http", absl::StrCat("malformed request: ", error.message()));
}

void http_session::fillRequestHead(const request_parser::value_type &message)
{
    m_request = http_request{};
    m_request.method = std::string(message.method_string());
    m_request.target = std::string(message.target());
    const auto mark = m_request.target.find('?');
    m_request.path = m_request.target.substr(0, mark);
    if (mark != std::string::npos)
        m_request.query = m_request.target.substr(mark + 1);
    m_request.headers = message.base();
    m_request.peer = m_stream.peerAddress();
}

std::string http_session::headText(const http_response &response)
{
    // A caller whose answer began before the stop hasn't been told and may send another request.
    m_keepAlive = m_keepAlive && !m_registry.draining;
    std::string text = absl::StrCat(
        "HTTP/1.1 ", response.status, " ",
        std::string(http::obsolete_reason(http::int_to_status(response.status))), "\r\n");
    if (!response.contentType.empty())
        absl::StrAppend(&text, "Content-Type: ", response.contentType, "\r\n");
    for (const auto &[name, value] : response.headers)
        absl::StrAppend(&text, name, ": ", value, "\r\n");
    if (!m_keepAlive)
        absl::StrAppend(&text, "Connection: close\r\n");
    return text;
}

void http_session::respond(const http_response &response)
{
    if (m_started)
        return;
    m_started = true;
    m_stream.setTimeout(m_options.writeTimeout);
    std::string text = headText(response);
    absl::StrAppend(&text, "Content-Length: ", response.body.size(), "\r\n\r\n");
    if (!isHead())
        text += response.body;
    if (m_share)
        m_share->charge(text.size() + response.body.size(), steadyNow());
    writeAll(text);
}

void http_session::beginStream(const http_response &head)
{
    beginStreamWith(head, {});
}

void http_session::beginStreamWith(const http_response &head, std::string_view firstChunk)
{
    if (m_started)
        return;
    m_started = true;
    std::string text = headText(head);
    if (m_chunked)
        absl::StrAppend(&text, "Transfer-Encoding: chunked\r\n\r\n");
    else
        absl::StrAppend(&text, "\r\n");
    if (!m_chunked) {
        // The end of the connection is the end of the answer, so an early one must differ.
        m_keepAlive = false;
        m_stream.setResetOnClose(true);
    }
    appendChunk(text, firstChunk);
    writeAll(text);
}

bool http_session::writeChunk(std::string_view data)
{
    if (m_broken)
        return false;
    std::string text;
    appendChunk(text, data);
    return writeAll(text);
}

void http_session::appendChunk(std::string &text, std::string_view data) const
{
    if (data.empty() || isHead())
        return;
    const absl::string_view body(data.data(), data.size());
    if (m_chunked)
        absl::StrAppend(&text, absl::Hex(data.size()), "\r\n", body, "\r\n");
    else
        absl::StrAppend(&text, body);
}

void http_session::endStream()
{
    if (m_broken)
        return;
    if (!m_chunked)
        m_stream.setResetOnClose(false);
    else if (!isHead())
        writeAll("0\r\n\r\n");
}

void http_session::abortStream()
{
    m_broken = true;
    m_stream.close();
}

bool http_session::callerDisconnected()
{
    return m_broken || m_stream.peerClosed();
}

bool http_session::writeAll(std::string_view data)
{
    while (!data.empty() && !m_broken) {
        boost::system::error_code error;
        setPhase(connection_phase::Sending);
        const std::size_t written =
            m_stream.writeSome(boost::asio::buffer(data.data(), data.size()), error);
        data.remove_prefix(written);
        if (error)
            m_broken = true;
    }
    setPhase(connection_phase::Running);
    return !m_broken;
}

} // namespace tamarack::detail
