// One server connection: reads requests in turn and lets the handler answer them.
#pragma once

#include <tamarackglade/buffers/connection_budget.hpp>
#include <tamarackglade/http/detail/growing_body.hpp>
#include <tamarackglade/http/http_exchange.hpp>
#include <tamarackglade/http/http_server.hpp>
#include <tamarackglade/runtime/byte_stream.hpp>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <optional>
#include <set>

namespace tamarack::detail {

/// @brief What the sessions of one server share. On the server's thread, but for the atomics.
struct session_registry
{
    std::atomic<std::size_t> active{0}; // requests of which a byte has been read
    std::atomic<bool> draining{false}; // connections are closed after their answers
    bool closed = false; // no further request is read
    std::set<byte_stream *> idle; // wait for the first byte of a request
};

/// @brief The exchange of the current request over one byte_stream.
class http_session final : public http_exchange
{
public:
    http_session(byte_stream &stream, const http_server_options &options,
                 const http_server::handler &handle, session_registry &registry);

    /// @brief Serves requests until either side closes.
    void run();

    [[nodiscard]] const http_request &request() const override { return m_request; }
    bool reserveMemory(std::size_t bytes) override
    {
        return waitForRoom(bytes, connection_phase::Running);
    }
    void respond(const http_response &response) override;
    void beginStream(const http_response &head) override;
    void beginStreamWith(const http_response &head, std::string_view firstChunk) override;
    bool writeChunk(std::string_view data) override;
    void endStream() override;
    void abortStream() override;
    bool callerDisconnected() override;
    void watchCaller(const std::function<void()> &onDisconnected) override
    {
        m_stream.watchPeer(onDisconnected);
    }
    void unwatchCaller() override { m_stream.unwatchPeer(); }
    [[nodiscard]] bool started() const override { return m_started; }

private:
    using request_parser = boost::beast::http::request_parser<growing_body>;

    bool waitForRequest();
    void serveRequest();
    bool readRequest();
    bool readHeader(request_parser &parser);
    bool readBody(request_parser &parser, std::size_t limit);
    /// @brief Reads what the body needs beyond the limit check and the interim response.
    bool readWholeBody(request_parser &parser);
    void feedParser(request_parser &parser, boost::system::error_code &error);
    /// @brief Reads more into the buffer; refuses if the process has no room for it.
    bool readMore(const request_parser &parser, boost::system::error_code &error);
    /// @brief Counts bytes of the request, after waiting for room.
    /// @return false if there is none; the request is refused then
    bool reserve(std::size_t bytes, connection_phase whileWaiting);
    /// @brief As reserve(), but refuses nothing.
    bool waitForRoom(std::size_t bytes, connection_phase whileWaiting);
    /// @return false if the process has no place for the connection
    bool enterBudget();
    void setPhase(connection_phase phase);
    bool setReadTimeout(std::chrono::steady_clock::time_point deadline,
                        const std::string &lateMessage);
    void refuse(unsigned status, const std::string &code, const std::string &message);
    void refuseReadError(const boost::system::error_code &error);
    void fillRequestHead(const request_parser::value_type &message);
    bool writeAll(std::string_view data);
    void appendChunk(std::string &text, std::string_view data) const;
    void discardRest();
    [[nodiscard]] bool isHead() const { return m_request.method == "HEAD"; }
    [[nodiscard]] std::string headText(const http_response &response);

    byte_stream &m_stream;
    const http_server_options &m_options;
    const http_server::handler &m_handle;
    session_registry &m_registry;
    std::unique_ptr<connection_budget::share> m_share; // null without a budget
    boost::beast::flat_buffer m_buffer;
    bool m_needMore = true; // the parser can't go on with what m_buffer holds
    bool m_inTrailers = false; // the last chunk of the body has been read
    std::size_t m_trailerBytes = 0;
    http_request m_request;
    bool m_keepAlive = true; // the connection may carry another request
    bool m_started = false; // an answer to m_request was started
    bool m_broken = false; // a write failed or the answer was aborted
    bool m_unreadBody = false; // the caller may still be sending what won't be read
    bool m_chunked = true; // HTTP/1.1 callers get chunks, HTTP/1.0 ones an unframed body
};

} // namespace tamarack::detail
