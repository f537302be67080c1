// Reading requests within limits, and writing answers.
#include <tamarackglade/http/detail/http_session.hpp>

#include <absl/strings/str_cat.h>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>

namespace tamarack::detail {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t ReadBytes = 16 * 1024;

} // namespace

http_session::http_session(byte_stream &stream, const http_server_options &options,
                           const http_server::handler &handle, session_registry &registry)
    : m_stream(stream), m_options(options), m_handle(handle), m_registry(registry)
{
}

void http_session::run()
{
    while (m_keepAlive && !m_broken && waitForRequest()) {
        ++m_registry.active;
        serveRequest();
        --m_registry.active;
        if (m_registry.draining)
            m_keepAlive = false;
    }
    m_stream.shutdownSend();
    if (m_unreadBody)
        discardRest();
    m_stream.close();
}

// Between requests the connection may be closed at any time; from the first byte on it is not.
bool http_session::waitForRequest()
{
    if (m_registry.closed)
        return false;
    if (m_buffer.size() > 0)
        return true;
    m_stream.setTimeout(m_options.idleTimeout);
    m_registry.idle.insert(&m_stream);
    boost::system::error_code error;
    const std::size_t size = m_stream.readSome(m_buffer.prepare(ReadBytes), error);
    m_registry.idle.erase(&m_stream);
    m_buffer.commit(size);
    return size > 0;
}

void http_session::serveRequest()
{
    m_started = false;
    if (!readRequest()) {
        m_keepAlive = false;
        return;
    }
    m_stream.setTimeout(m_options.writeTimeout);
    m_handle(*this);
    if (!m_started)
        refuse(500, "internal_error", "the request was not answered");
}

// Closing with unread data would reset the connection, and the caller might not see the answer.
void http_session::discardRest()
{
    constexpr std::size_t DiscardBytes = 64 * 1024;
    constexpr std::chrono::seconds LingerTime{3};
    std::string discarded(DiscardBytes, '\0');
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
    m_request = http_request{};
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
    if (m_needMore || m_buffer.size() == 0) {
        const std::size_t size = m_stream.readSome(m_buffer.prepare(ReadBytes), error);
        m_buffer.commit(size);
        if (error == boost::asio::error::eof)
            error = parser.got_some() ? http::error::partial_message : http::error::end_of_stream;
        if (error)
            return;
    }
    m_buffer.consume(parser.put(m_buffer.data(), error));
    m_needMore = error == http::error::need_more;
    if (m_needMore)
        error = {};
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
    return true;
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

std::string http_session::headText(const http_response &response) const
{
    std::string text = absl::StrCat(
        "HTTP/1.1 ", response.status, " ",
        std::string(http::obsolete_reason(http::int_to_status(response.status))), "\r\n");
    if (!response.contentType.empty())
        absl::StrAppend(&text, "Content-Type: ", response.contentType, "\r\n");
    for (const auto &[name, value] : response.headers)
        absl::StrAppend(&text, name, ": ", value, "\r\n");
    if (!m_keepAlive || m_registry.draining)
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
        const std::size_t written =
            m_stream.writeSome(boost::asio::buffer(data.data(), data.size()), error);
        data.remove_prefix(written);
        if (error)
            m_broken = true;
    }
    return !m_broken;
}

} // namespace tamarack::detail
