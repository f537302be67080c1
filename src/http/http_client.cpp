// Requests written as text, responses parsed with Beast. What isn't a response fails here, for all
// who read responses.
#include <tamarackglade/http/http_client.hpp>
#include <tamarackglade/http/request_syntax.hpp>
#include <tamarackglade/http/response_syntax.hpp>
#include <tamarackglade/runtime/boot_now.hpp>
#include <tamarackglade/runtime/tcp_stream.hpp>

#include <absl/strings/str_cat.h>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <array>

namespace tamarack {

namespace http = boost::beast::http;

namespace {

// Bounds what the server sends outside of the body: a head, a chunk header, a trailer.
constexpr std::size_t MaxBufferedBytes = 64 * 1024; // bytes
constexpr std::chrono::milliseconds MinTimeout{1};
constexpr unsigned MaxInterimHeads = 8; // before the head of one response

// Heads such as 100 and 103 announce the response of the request, but aren't it.
bool isInterim(unsigned status)
{
    constexpr unsigned MinFinalStatus = 200;
    return status < MinFinalStatus;
}

} // namespace

struct http_client::response_state
{
    boost::beast::flat_buffer buffer{MaxBufferedBytes};
    std::optional<http::response_parser<http::buffer_body>> parser;
    std::array<char, 16 * 1024> chunk{};
};

http_client::http_client(boost::asio::io_context &io, std::string address)
    : m_io(io), m_address(std::move(address))
{
}

http_client::~http_client() = default;

void http_client::setTimeout(std::chrono::milliseconds timeout)
{
    m_timeout = timeout;
    if (m_stream)
        m_stream->setTimeout(timeout);
}

absl::StatusOr<http_response> http_client::start(const http_client_request &request)
{
    const auto text = writeRequest(request, m_address);
    if (!text.ok())
        return text.status();
    m_aborted = false;
    if (m_stream && !reusable())
        close();
    if (!m_stream) {
        const absl::Status connected = connect();
        if (!connected.ok())
            return connected;
    }
    if (m_aborted) {
        close();
        return absl::AbortedError(absl::StrCat(m_address, ": aborted"));
    }
    const absl::Status sent = send(*text);
    if (!sent.ok())
        return sent;
    return readHead(request.method == "HEAD");
}

absl::StatusOr<http_response> http_client::readHead()
{
    if (!idle())
        return absl::AbortedError(absl::StrCat(m_address, ": the connection has ended"));
    return readHead(false);
}

absl::StatusOr<http_response> http_client::readHead(bool isBodiless)
{
    auto head = readOneHead(isBodiless);
    for (unsigned i = 0; head.ok() && isInterim(head->status); ++i) {
        if (i == MaxInterimHeads) {
            close();
            return absl::AbortedError(absl::StrCat(m_address, ": too many interim responses"));
        }
        head = readOneHead(isBodiless);
    }
    return head;
}

absl::StatusOr<http_response> http_client::readOneHead(bool isBodiless)
{
    auto &parser = m_response->parser.emplace();
    parser.body_limit(boost::none);
    parser.skip(isBodiless);
    parser.eager(false);
    while (!parser.is_header_done()) {
        boost::system::error_code error;
        readStep(error);
        if (error)
            return readFailure(error);
    }
    if (!isResponseStatus(parser.get().result_int()))
        return readFailure(http::error::bad_status);
    if (!isTransferCoding(parser.get()[http::field::transfer_encoding]))
        return readFailure(http::error::bad_transfer_encoding);
    http_response head;
    head.status = parser.get().result_int();
    head.contentType = std::string(parser.get()[http::field::content_type]);
    for (const auto &field : parser.get())
        head.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    return head;
}

void http_client::readStep(boost::system::error_code &error)
{
    const auto &parser = *m_response->parser;
    if (m_response->buffer.size() == 0)
        readMore(error);
    while (!error && !parser.is_done()) {
        parseStep(error);
        if (error != http::error::need_more)
            return;
        readMore(error);
    }
}

void http_client::readMore(boost::system::error_code &error)
{
    auto &buffer = m_response->buffer;
    auto &parser = *m_response->parser;
    const std::size_t room = boost::beast::read_size(buffer, MaxBufferedBytes);
    if (room == 0) {
        error = http::error::buffer_overflow;
        return;
    }
    const auto space = buffer.prepare(room);
    buffer.commit(runUntilDeadline(
        [&](byte_stream &stream) { return stream.readSome(space, error); }, error));
    if (error != boost::asio::error::eof)
        return;
    error = http::error::end_of_stream;
    if (parser.got_some())
        parser.put_eof(error);
}

// A step takes whole lines of a head, and the last chunk together with its trailers.
void http_client::parseStep(boost::system::error_code &error)
{
    auto &buffer = m_response->buffer;
    auto &parser = *m_response->parser;
    const bool isHead = !parser.is_header_done();
    const std::size_t used = parser.put(buffer.data(), error);
    const bool isTrailers = parser.chunked() && parser.is_done();
    const std::string_view lines(static_cast<const char *>(buffer.data().data()), used);
    if ((isHead || isTrailers) && hasFoldedLine(lines))
        error = http::error::bad_obs_fold;
    buffer.consume(used);
}

bool http_client::isDelimited() const
{
    return m_response && m_response->parser && !m_response->parser->need_eof();
}

absl::StatusOr<std::string> http_client::readSome()
{
    if (!m_stream || !m_response->parser)
        return absl::FailedPreconditionError("no response is being read");
    auto &parser = *m_response->parser;
    while (!parser.is_done()) {
        parser.get().body().data = m_response->chunk.data();
        parser.get().body().size = m_response->chunk.size();
        parser.get().body().more = true;
        boost::system::error_code error;
        readStep(error);
        if (error && error != http::error::need_buffer)
            return readFailure(error);
        const std::size_t size = m_response->chunk.size() - parser.get().body().size;
        if (size > 0)
            return std::string(m_response->chunk.data(), size);
    }
    const bool keepAlive = parser.get().keep_alive();
    m_response->parser.reset();
    if (!keepAlive)
        close();
    return std::string();
}

absl::StatusOr<http_response> http_client::fetch(const http_client_request &request,
                                                 std::size_t maxBytes, byte_quota::share *held)
{
    auto response = start(request);
    if (!response.ok())
        return response;
    for (;;) {
        auto part = readSome();
        if (!part.ok())
            return part.status();
        if (part->empty())
            return response;
        response->body += *part;
        const bool hasRoom = held == nullptr || held->set(response->body.size());
        if (response->body.size() > maxBytes || !hasRoom) {
            close();
            return absl::AbortedError(absl::StrCat(m_address, ": body exceeds the size limit"));
        }
    }
}

void http_client::close()
{
    if (m_stream)
        m_stream->close();
    m_stream.reset();
}

void http_client::abort()
{
    m_aborted = true;
    if (m_stream)
        m_stream->close();
}

bool http_client::idle() const
{
    return m_stream && !m_response->parser;
}

bool http_client::reusable() const
{
    return idle() && m_response->buffer.size() == 0 && !m_stream->peerClosed()
           && !m_stream->inputWaiting();
}

absl::Status http_client::connect()
{
    const auto timeout =
        m_connectTimeout.count() > 0 ? std::min(m_timeout, m_connectTimeout) : m_timeout;
    auto stream = tcp_stream::connect(m_io, m_address, timeout);
    if (!stream.ok())
        return absl::UnavailableError(stream.status().message());
    m_stream = std::move(*stream);
    m_stream->setTimeout(m_timeout);
    m_response = std::make_unique<response_state>();
    return absl::OkStatus();
}

absl::Status http_client::send(std::string_view text)
{
    while (!text.empty()) {
        boost::system::error_code error;
        text.remove_prefix(runUntilDeadline(
            [&](byte_stream &stream) {
                return stream.writeSome(boost::asio::buffer(text.data(), text.size()), error);
            },
            error));
        if (error)
            return readFailure(error);
    }
    return absl::OkStatus();
}

template <class Operation>
std::size_t http_client::runUntilDeadline(const Operation &operation,
                                          boost::system::error_code &error)
{
    for (;;) {
        const duration left = m_deadline ? *m_deadline - bootNow() : duration(m_timeout);
        if (left <= duration::zero() && std::exchange(m_triedLate, true)) {
            if (moveDeadline())
                continue;
            error = boost::beast::error::timeout;
            return 0;
        }
        const auto rounded =
            std::chrono::duration_cast<std::chrono::milliseconds>(std::max(left, duration::zero()));
        m_stream->setTimeout(std::min(m_timeout, rounded + MinTimeout));
        const std::size_t size = operation(*m_stream);
        const bool isLate = m_deadline && bootNow() >= *m_deadline;
        if (error != boost::beast::error::timeout || !isLate)
            return size;
        m_triedLate = true;
    }
}

bool http_client::moveDeadline()
{
    const auto later = m_onDeadline ? m_onDeadline() : std::nullopt;
    if (later)
        setDeadline(later);
    return later.has_value();
}

void http_client::setDeadline(std::optional<time_point> deadline)
{
    m_deadline = deadline;
    m_triedLate = false;
}

absl::Status http_client::readFailure(const boost::system::error_code &error)
{
    const std::string message = absl::StrCat(m_address, ": ", error.message());
    close();
    if (error == boost::beast::error::timeout)
        return absl::DeadlineExceededError(message);
    return absl::AbortedError(message);
}

} // namespace tamarack
