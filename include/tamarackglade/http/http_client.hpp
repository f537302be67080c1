// An HTTP/1.1 client connection that is reused for one request after another.
#pragma once

#include <tamarackglade/buffers/byte_quota.hpp>
#include <tamarackglade/core/time.hpp>
#include <tamarackglade/http/http_client_request.hpp>
#include <tamarackglade/http/http_response.hpp>
#include <tamarackglade/runtime/byte_stream.hpp>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace tamarack {

/// @brief One connection to "ip:port". Used by one fiber at a time, on the io_context's thread.
///
/// Errors: InvalidArgument if the request can't be written as one, and Unavailable if there was no
/// connection: no byte of it was sent. Aborted if the connection failed after the request may have
/// been sent, DeadlineExceeded on a timeout.
///
/// Bytes that are no response (RFC 9112; RFC 9110, 15) fail as Aborted, whatever they claim, and
/// close the connection; so does a response that the connection's reset cuts off. All readers of
/// responses rely on this class for both.
///
/// Memory is bounded whatever the server sends: heads, chunk headers and trailers that are too long
/// fail, and bodies are handed out in parts.
class http_client
{
public:
    static constexpr std::size_t MaxFetchBytes = 64 * 1024 * 1024; // size of a body

    http_client(boost::asio::io_context &io, std::string address);
    ~http_client();

    /// @brief Sets the timeout of connecting and of each read or write.
    void setTimeout(std::chrono::milliseconds timeout);

    /// @brief Sets the time at which operations fail with DeadlineExceeded, however many bytes
    /// arrive until then; nullopt for none.
    void setDeadline(std::optional<time_point> deadline);

    /// @brief Sets what decides at the deadline whether an operation goes on.
    /// @param onDeadline returns a later deadline to go on until then, or nullopt to fail; empty to
    /// fail always
    void setDeadlineHandler(std::function<std::optional<time_point>()> onDeadline)
    {
        m_onDeadline = std::move(onDeadline);
    }

    /// @brief Sets a shorter timeout for connecting alone; zero for none.
    void setConnectTimeout(std::chrono::milliseconds timeout) { m_connectTimeout = timeout; }

    /// @brief Sends a request and reads the head of its response; the body is empty.
    absl::StatusOr<http_response> start(const http_client_request &request);

    /// @brief Reads the head of a further response that the server sends without a request, after
    /// the body of the last one; the body is empty.
    absl::StatusOr<http_response> readHead();

    /// @return whether the response that is being read has a length or chunks; otherwise the end of
    /// its connection is its end
    [[nodiscard]] bool isDelimited() const;

    /// @brief Reads the next part of the body.
    /// @return its bytes; empty at the proper end of the body
    absl::StatusOr<std::string> readSome();

    /// @brief Sends a request and reads the whole response.
    /// @param held counts the body while it is read; null for no count
    /// @return Aborted if the body exceeds maxBytes or the quota of held
    absl::StatusOr<http_response> fetch(const http_client_request &request,
                                        std::size_t maxBytes = MaxFetchBytes,
                                        byte_quota::share *held = nullptr);

    /// @brief Closes the connection; the next request opens another.
    void close();

    /// @brief Closes the socket while another fiber of this thread connects or waits in it; that
    /// one gets Aborted, and sends nothing more.
    void abort();

    /// @return whether a connection is open and idle
    [[nodiscard]] bool idle() const;
    /// @return whether the idle connection can carry a request: the peer hasn't closed it, and
    /// no bytes are waiting that belong to no request
    [[nodiscard]] bool reusable() const;

private:
    struct response_state;

    absl::Status connect();
    absl::StatusOr<http_response> readHead(bool isBodiless);
    /// @brief Reads a head, which may be an interim one.
    absl::StatusOr<http_response> readOneHead(bool isBodiless);
    /// @brief Reads until the parser has made a step or fails.
    void readStep(boost::system::error_code &error);
    /// @brief Reads once into the buffer, and tells the parser of the connection's orderly end.
    void readMore(boost::system::error_code &error);
    /// @brief Parses buffered bytes, and fails if they are none of a response.
    void parseStep(boost::system::error_code &error);
    absl::Status send(std::string_view text);
    /// @brief Runs a read or write of m_stream, again while the deadline is moved.
    template <class Operation>
    std::size_t runUntilDeadline(const Operation &operation, boost::system::error_code &error);
    /// @return whether the operation may go on after its deadline
    bool moveDeadline();
    absl::Status readFailure(const boost::system::error_code &error);

    boost::asio::io_context &m_io;
    std::string m_address;
    std::chrono::milliseconds m_timeout{30'000};
    std::chrono::milliseconds m_connectTimeout{0};
    std::optional<time_point> m_deadline;
    // An operation was tried after the deadline. One is, since bytes that arrived in time may be
    // unread if the event loop was delayed.
    bool m_triedLate = false;
    bool m_aborted = false; // while a request was being sent or its connection opened
    std::function<std::optional<time_point>()> m_onDeadline;
    std::unique_ptr<byte_stream> m_stream;
    std::unique_ptr<response_state> m_response;
};

} // namespace tamarack
