// What a side would pass on of the response that a scripted upstream sends.
#pragma once

#include "scripted_upstream.hpp"
#include <tamarackglade/runtime/io_thread.hpp>
#include <tamarackglade/side/upstream_call.hpp>

#include <boost/fiber/operations.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace tamarack::testing {

/// Notes what a side would pass on of a response.
class noting_events final : public upstream_events
{
public:
    void onHead(unsigned /*status*/, const std::string & /*contentType*/) override
    {
        hasHead = true;
    }
    bool onData(std::string data) override
    {
        text += data;
        return true;
    }
    void onEnd(upstream_end how, const std::string & /*message*/) override { end = how; }

    bool hasHead = false;
    std::string text;
    std::optional<upstream_end> end;
};

/// @brief Lets a side call an upstream that sends the response.
inline std::shared_ptr<noting_events> callUpstream(io_thread &thread, const std::string &response,
                                                   ending end)
{
    const scripted_upstream upstream({response, "", end});
    auto events = std::make_shared<noting_events>();
    thread.run([&] {
        upstream_request request;
        request.method = "POST";
        request.target = "/x";
        request.timeout = std::chrono::seconds(10);
        const auto call =
            std::make_shared<upstream_call>(thread, upstream.address(), std::move(request), events);
        call->start();
        while (!events->end)
            boost::this_fiber::sleep_for(std::chrono::milliseconds(1));
    });
    return events;
}

} // namespace tamarack::testing
