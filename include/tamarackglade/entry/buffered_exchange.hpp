// An HTTP exchange that buffers the response.
#pragma once

#include <tamarackglade/http/http_exchange.hpp>

namespace tamarack {

/// @brief Stores a handler's response, for the owner to send. callerDisconnected always returns
/// false, so that the call runs to its end and its answer is available for a resend.
class buffered_exchange final : public http_exchange
{
public:
    explicit buffered_exchange(http_exchange &outer) : m_outer(outer) { }

    [[nodiscard]] const http_request &request() const override { return m_outer.request(); }
    void respond(const http_response &response) override;
    void beginStream(const http_response &head) override;
    bool writeChunk(std::string_view data) override;
    void endStream() override { }
    void abortStream() override { }
    bool callerDisconnected() override { return false; }
    [[nodiscard]] bool started() const override { return m_started; }

    /// @return the response; valid after the handler returned
    [[nodiscard]] const http_response &response() const { return m_response; }

private:
    http_exchange &m_outer;
    bool m_started = false;
    http_response m_response;
};

} // namespace tamarack
