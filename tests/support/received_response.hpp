// What a caller of the gateway would get of the response that a scripted upstream sends.
#pragma once

#include "scripted_upstream.hpp"
#include <platform/http_protocol.hpp>
#include <tamarackglade/gateway/upstream/upstream_caller.hpp>
#include <tamarackglade/runtime/boot_now.hpp>
#include <tamarackglade/runtime/io_thread.hpp>

#include <boost/fiber/operations.hpp>

#include <chrono>
#include <optional>
#include <sstream>
#include <string>
#include <utility>

namespace tamarack::testing {

enum class framing { Length, Chunks, UntilClose };
inline const std::string Events = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";

inline std::string responseText(framing framed, const std::string &body,
                                const std::string &statusAndType = "200 OK")
{
    const std::string head =
        "HTTP/1.1 " + statusAndType + "\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n";
    switch (framed) {
    case framing::Length:
        return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    case framing::Chunks: {
        std::string text = head + "Transfer-Encoding: chunked\r\n\r\n";
        const auto half = body.size() / 2;
        for (const std::string &part : {body.substr(0, half), body.substr(half)}) {
            if (part.empty())
                continue; // an empty chunk would end the body
            std::ostringstream size;
            size << std::hex << part.size();
            text += size.str() + "\r\n" + part + "\r\n";
        }
        return text + "0\r\n\r\n";
    }
    case framing::UntilClose:
        break;
    }
    return head + "\r\n" + body;
}

/// Collects what a caller would get. A slow caller reads nothing for a while after each part.
class collecting_sink final : public response_sink
{
public:
    explicit collecting_sink(bool slow) : m_slow(slow) { }

    bool onHead(const http_response & /*head*/, const response_metadata & /*metadata*/) override
    {
        pause();
        return true;
    }
    bool onEvent(const stream_event &event) override
    {
        events.append(event.text);
        return true;
    }
    bool onFlush() override
    {
        flushed = events;
        pause();
        return true;
    }

    std::string events;
    std::string flushed; // what of the events the caller has got

private:
    void pause() const
    {
        if (m_slow)
            boost::this_fiber::sleep_for(std::chrono::milliseconds(4));
    }

    bool m_slow;
};

class ignoring_listener final : public response_listener
{
public:
    // Long enough for the rest of the response, and the end of its connection, to arrive unread.
    void onResponse(const live_upstream & /*upstream*/,
                    const response_metadata & /*metadata*/) override
    {
        if (slow)
            boost::this_fiber::sleep_for(std::chrono::milliseconds(4));
    }

    bool slow = false;
};

/// What becomes of an attempt.
struct received_response
{
    attempt_outcome outcome;
    std::string text; // what a caller got of the body
    bool isKept; // the connection may carry another request
};

/// @brief Sends a request to an upstream that plays the script.
inline received_response receive(io_thread &thread, const upstream_script &script, bool streamed,
                                 bool slow, stream_progress &progress,
                                 const http_client_request &request = {})
{
    const scripted_upstream server(script);
    received_response received{};
    thread.run([&] {
        upstream_pool pool(thread.io());
        const platform::http_protocol protocol;
        ignoring_listener listener;
        listener.slow = slow;
        upstream_caller caller(pool, protocol, {&listener});
        live_upstream upstream;
        upstream.address = server.address();
        collecting_sink sink(slow);
        attempt_handle handle;
        const std::chrono::seconds maxIdleTime(1);
        const attempt_limits limits{bootNow() + std::chrono::seconds(10), duration::zero(),
                                    std::nullopt, maxIdleTime};
        const attempt_result result = caller.run(upstream, request, request_id("r1"), streamed,
                                                 limits, progress, sink, handle);
        received.outcome = result.outcome;
        received.text = streamed ? sink.flushed : result.response.body;
        while (server.isAboutToClose())
            boost::this_fiber::sleep_for(std::chrono::milliseconds(1));
        received.isKept =
            pool.acquire(upstream.address, maxIdleTime, request_id("r2")).idleFor.has_value();
    });
    return received;
}

inline received_response receive(io_thread &thread, const upstream_script &script, bool streamed,
                                 bool slow, std::optional<std::uint64_t> resumeAfter = std::nullopt)
{
    stream_progress progress(resumeAfter);
    return receive(thread, script, streamed, slow, progress);
}

inline bool looksComplete(const received_response &received)
{
    return received.outcome == attempt_outcome::Complete
           || received.outcome == attempt_outcome::Answered;
}

} // namespace tamarack::testing
