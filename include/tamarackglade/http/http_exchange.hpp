// One request and its answer, whole or streamed.
#pragma once

#include <tamarackglade/http/http_request.hpp>
#include <tamarackglade/http/http_response.hpp>

#include <cstddef>
#include <functional>
#include <string_view>

namespace tamarack {

/// @brief What a handler gets: the request, and ways to answer it exactly once.
class http_exchange
{
public:
    http_exchange() = default;
    http_exchange(const http_exchange &) = delete;
    http_exchange &operator=(const http_exchange &) = delete;
    virtual ~http_exchange() = default;

    [[nodiscard]] virtual const http_request &request() const = 0;
    /// @brief Counts memory that the handler is about to hold until its answer. May wait a moment
    /// for room.
    /// @return false if the process has no room; the request is to be refused then
    virtual bool reserveMemory(std::size_t /*bytes*/) { return true; }
    /// @brief Answers with a whole response.
    virtual void respond(const http_response &response) = 0;
    /// @brief Starts a chunked answer; the response's body is ignored.
    virtual void beginStream(const http_response &head) = 0;
    /// @brief Starts a chunked answer and sends its first chunk with the head.
    virtual void beginStreamWith(const http_response &head, std::string_view firstChunk)
    {
        beginStream(head);
        writeChunk(firstChunk);
    }
    /// @return false if the caller has gone
    virtual bool writeChunk(std::string_view data) = 0;
    /// @brief Ends a chunked answer properly.
    virtual void endStream() = 0;
    /// @brief Ends the connection without ending the answer, so that the caller sees it is cut.
    virtual void abortStream() = 0;
    /// @return whether the caller has closed its connection
    virtual bool callerDisconnected() = 0;
    /// @brief Calls onDisconnected once if the caller closes its connection before unwatchCaller.
    virtual void watchCaller(const std::function<void()> & /*onDisconnected*/) { }
    virtual void unwatchCaller() { }
    /// @return whether an answer was started
    [[nodiscard]] virtual bool started() const = 0;
};

} // namespace tamarack
