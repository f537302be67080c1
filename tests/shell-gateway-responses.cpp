// Tests that a response which breaks off at an upstream is never taken for a complete one.
#include "support/received_response.hpp"
#include <platform/http_protocol.hpp>
#include <tamarackglade/gateway/upstream/upstream_caller.hpp>
#include <tamarackglade/runtime/boot_now.hpp>
#include <tamarackglade/runtime/io_thread.hpp>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>
#include <string>
#include <vector>

using namespace tamarack;
using namespace std::chrono_literals;
using tamarack::testing::collecting_sink;
using tamarack::testing::ending;
using tamarack::testing::Events;
using tamarack::testing::framing;
using tamarack::testing::looksComplete;
using tamarack::testing::receive;
using tamarack::testing::responseText;
using tamarack::testing::upstream_script;

TEST_CASE("a reset between two reads of a response without a length doesn't look like its end")
{
    io_thread thread;
    for (const bool streamed : {true, false}) {
        CAPTURE(streamed);
        const std::string body = streamed ? "id: 0\ndata: a\n\n" : "part";
        const auto received = receive(
            thread, {responseText(framing::UntilClose, body), "", ending::Reset}, streamed, true);
        CHECK_FALSE(looksComplete(received));
    }
}

TEST_CASE("a response that is cut at any byte, by close or by reset, never looks complete")
{
    io_thread thread;
    const bool holds = rc::check([&] {
        const auto framed =
            *rc::gen::element(framing::Length, framing::Chunks, framing::UntilClose);
        const auto end = *rc::gen::element(ending::Close, ending::Reset);
        const bool streamed = *rc::gen::arbitrary<bool>();
        const bool slow = *rc::gen::arbitrary<bool>();
        const std::string whole = responseText(framed, Events);
        const std::size_t cut = *rc::gen::inRange<std::size_t>(0, whole.size());
        const std::size_t pause = *rc::gen::inRange<std::size_t>(0, cut + 1);
        const upstream_script script{whole.substr(0, pause), whole.substr(pause, cut - pause), end};
        const auto received = receive(thread, script, streamed, slow);
        // An orderly close is the end of a body without a length, and may follow any event.
        const std::size_t bodyBytes = cut - std::min(cut, whole.size() - Events.size());
        const bool closedInBody = framed == framing::UntilClose && end == ending::Close
                                  && cut >= whole.size() - Events.size();
        const bool atEvent = bodyBytes > 0 && bodyBytes % (Events.size() / 2) == 0;
        if (closedInBody && (!streamed || atEvent))
            RC_ASSERT(looksComplete(received));
        else
            RC_ASSERT(!looksComplete(received));
        RC_ASSERT(Events.compare(0, received.text.size(), received.text) == 0);
    });
    CHECK(holds);
}

TEST_CASE("a response whose head ends early doesn't look whole, in HTTP/1.0 or behind interim ones")
{
    io_thread thread;
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
    for (const framing framed : {framing::Length, framing::Chunks, framing::UntilClose}) {
        std::string old = responseText(framed, Events);
        old.replace(0, std::string("HTTP/1.1").size(), "HTTP/1.0");
        std::string behindOne = interim;
        behindOne += responseText(framed, Events);
        std::string behindTwo = interim;
        behindTwo += interim;
        behindTwo += old;
        for (const std::string &whole : {old, behindOne, behindTwo}) {
            const std::size_t headBytes = whole.rfind("\r\n\r\n", whole.find("id: 0")) + 4;
            for (std::size_t cut = 0; cut < headBytes; ++cut) {
                const ending end = cut % 2 == 0 ? ending::Close : ending::Reset;
                const bool streamed = cut % 3 != 0;
                const auto received =
                    receive(thread, {whole.substr(0, cut), "", end}, streamed, false);
                CAPTURE(cut);
                CHECK_FALSE(looksComplete(received));
                CHECK(received.text.empty());
            }
        }
    }
}

TEST_CASE("interim responses aren't taken for the response, and not read without end")
{
    io_thread thread;
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string whole = responseText(framing::Chunks, Events);
    for (const bool streamed : {true, false}) {
        const auto received =
            receive(thread, {interim, interim + whole, ending::Close}, streamed, false);
        CHECK(looksComplete(received));
        CHECK(received.text == Events);
    }
    std::string many;
    for (int i = 0; i < 100; ++i)
        many += interim;
    const auto endless = receive(thread, {many + whole, "", ending::Close}, false, false);
    CHECK(endless.outcome == attempt_outcome::Broken);
}

TEST_CASE("a stream that ends inside any event is broken, although its framing is complete")
{
    io_thread thread;
    const std::string events = "id: 0\ndata: a\n\nid: 1\r\ndata: b\r\n\r\nid: 2\ndata: c\n\n";
    const std::set<std::size_t> eventEnds{15, 33, 48};
    for (const framing framed : {framing::Length, framing::Chunks, framing::UntilClose}) {
        for (std::size_t cut = 1; cut <= events.size(); ++cut) {
            CAPTURE(cut);
            const std::string text = responseText(framed, events.substr(0, cut));
            const std::size_t split = text.size() - std::min(text.size(), cut / 2);
            const auto received =
                receive(thread, {text.substr(0, split), text.substr(split)}, true, false);
            CHECK(looksComplete(received) == eventEnds.contains(cut));
            const auto resumed =
                receive(thread, {text.substr(0, split), text.substr(split)}, true, false, 0);
            const bool hasNewEvent = cut > *eventEnds.begin() || framed != framing::UntilClose;
            CHECK(looksComplete(resumed) == (eventEnds.contains(cut) && hasNewEvent));
        }
    }
}

TEST_CASE("a stream without length or chunks that ends before any new event is broken")
{
    io_thread thread;
    for (const std::string body : {"", ": comment\n\n", "id: 3\ndata: old\n\n"}) {
        CAPTURE(body);
        const auto received = receive(
            thread, {responseText(framing::UntilClose, body), "", ending::Close}, true, false, 3);
        CHECK_FALSE(looksComplete(received));
    }
    for (const framing framed : {framing::Length, framing::Chunks}) {
        const auto received =
            receive(thread, {responseText(framed, ""), "", ending::Close}, true, false, 3);
        CHECK(looksComplete(received));
    }
}

TEST_CASE("a stream that broke off inside an event isn't whole at a resume without events")
{
    io_thread thread;
    for (const ending end : {ending::Close, ending::Reset}) {
        stream_progress progress;
        const std::string cut = "id: 0\ndata: a\n\nid: 1\nda";
        receive(thread, {responseText(framing::UntilClose, cut), "", end}, true, false, progress);
        CHECK(progress.last() == 0);
        const upstream_script empty{responseText(framing::Chunks, ""), "", ending::Close};
        CHECK_FALSE(looksComplete(receive(thread, empty, true, false, progress)));
        const upstream_script rest{responseText(framing::Chunks, "id: 1\ndata: b\n\n"), "",
                                   ending::Close};
        CHECK(looksComplete(receive(thread, rest, true, false, progress)));
        CHECK(looksComplete(receive(thread, empty, true, false, progress)));
    }
}

TEST_CASE("a stream that broke off isn't ended as whole by a success that is no stream")
{
    io_thread thread;
    const std::string json = "200 OK\r\nContent-Type: application/json";
    for (const std::string &head :
         {std::string("201 Created"), std::string("202 Accepted"), std::string("204 No Content"),
          std::string("205 Reset Content"), std::string("206 Partial Content"), json}) {
        for (const framing framed : {framing::Length, framing::Chunks, framing::UntilClose}) {
            for (const char *body : {"", "id: 3\ndata: c\n\n"}) {
                CAPTURE(head);
                CAPTURE(body);
                const upstream_script script{responseText(framed, body, head), "", ending::Close};
                const auto received = receive(thread, script, true, false, 2);
                CHECK(received.outcome == attempt_outcome::Broken);
                CHECK(received.text.empty());
            }
        }
    }
}

TEST_CASE("an upstream's own success that is no stream is passed on whole, not as a broken stream")
{
    io_thread thread;
    for (const framing framed : {framing::Length, framing::Chunks}) {
        const upstream_script script{responseText(framed, "kept", "202 Accepted"), "",
                                     ending::Close};
        CHECK(receive(thread, script, true, false).outcome == attempt_outcome::Answered);
    }
}

TEST_CASE("events before a gap reach the caller before another upstream goes on behind them")
{
    io_thread thread;
    const std::string events = "id: 0\ndata: a\n\n";
    const std::string endless = "id: 1\ndata: " + std::string(2'000'000, 'x');
    for (const std::string &fault : {std::string("id: 2\ndata: c\n\n"), endless}) {
        stream_progress progress;
        const upstream_script script{responseText(framing::Length, events + fault), "",
                                     ending::Close};
        const auto received = receive(thread, script, true, false, progress);
        CHECK(received.outcome == attempt_outcome::Broken);
        CHECK(progress.last() == 0);
        CHECK(received.text == events);
    }
}

TEST_CASE("a stream of comments alone is broken")
{
    io_thread thread;
    for (const framing framed : {framing::Length, framing::Chunks, framing::UntilClose}) {
        const auto received = receive(
            thread, {responseText(framed, ": comment\n\n"), "", ending::Close}, true, false);
        CHECK_FALSE(looksComplete(received));
    }
}

TEST_CASE("an event stream on a route without streams is broken if it ends inside an event")
{
    io_thread thread;
    const std::string events = "id: 0\ndata: a\n\nid: 1\ndata: b\n";
    for (const framing framed : {framing::Length, framing::Chunks, framing::UntilClose}) {
        const std::string type = "Content-Type: text/event-stream\r\n";
        const auto withType = [&](const std::string &body) {
            std::string text = responseText(framed, body);
            text.insert(text.find("\r\n") + 2, type);
            return text;
        };
        CHECK_FALSE(looksComplete(receive(thread, {withType(events), ""}, false, false)));
        CHECK(looksComplete(receive(thread, {withType(events + "\n"), ""}, false, false)));
        const auto empty = receive(thread, {withType(""), ""}, false, false);
        CHECK(looksComplete(empty) == (framed != framing::UntilClose));
    }
}

TEST_CASE("a whole response of any framing is complete, also for a slow caller")
{
    io_thread thread;
    for (const framing framed : {framing::Length, framing::Chunks, framing::UntilClose}) {
        for (const bool streamed : {true, false}) {
            for (const bool slow : {true, false}) {
                const auto received = receive(
                    thread, {responseText(framed, Events), "", ending::Close}, streamed, slow);
                CHECK(looksComplete(received));
                CHECK(received.text == Events);
            }
        }
    }
}

TEST_CASE("a request to an address that can't be connected to surely wasn't run")
{
    io_thread thread;
    thread.run([&] {
        upstream_pool pool(thread.io());
        const platform::http_protocol protocol;
        upstream_caller caller(pool, protocol, {});
        for (const std::string address : {"127.0.0.1:70000", "engine.example:80", "", ":"}) {
            CAPTURE(address);
            live_upstream upstream;
            upstream.address = address;
            stream_progress progress(std::nullopt);
            collecting_sink sink(false);
            attempt_handle handle;
            const attempt_limits limits{bootNow() + 5s, duration::zero(), std::nullopt, 1s};
            const attempt_result result =
                caller.run(upstream, http_client_request{}, request_id("r1"), true, limits,
                           progress, sink, handle);
            CHECK(result.outcome == attempt_outcome::NotRun);
            CHECK_FALSE(result.connected);
        }
    });
}

namespace {

struct timed_end
{
    attempt_outcome outcome;
    duration time;
};

/// Runs a request at an upstream that answers nothing; may abort it while it connects.
timed_end runUnanswered(std::uint16_t port, duration timeLeft, bool aborts)
{
    io_thread thread;
    timed_end end{};
    thread.run([&] {
        upstream_pool pool(thread.io());
        const platform::http_protocol protocol;
        upstream_caller caller(pool, protocol, {});
        live_upstream upstream;
        upstream.address = "127.0.0.1:" + std::to_string(port);
        stream_progress progress(std::nullopt);
        collecting_sink sink(false);
        attempt_handle handle;
        boost::fibers::fiber aborting([&] {
            if (aborts)
                handle.abort();
        });
        const time_point begun = bootNow();
        const attempt_limits limits{begun + timeLeft, duration::zero(), std::nullopt, 1s};
        end.outcome = caller
                          .run(upstream, http_client_request{}, request_id("r1"), true, limits,
                               progress, sink, handle)
                          .outcome;
        end.time = bootNow() - begun;
        aborting.join();
    });
    return end;
}

} // namespace

TEST_CASE("a connect that gets no answer ends at the request's deadline")
{
    // Connections beyond a full backlog are neither accepted nor refused.
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor full(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    full.listen(0);
    std::vector<boost::asio::ip::tcp::socket> waiting;
    waiting.reserve(4);
    for (int i = 0; i < 4; ++i) {
        waiting.emplace_back(io);
        waiting.back().async_connect(full.local_endpoint(), [](boost::system::error_code) {});
    }
    io.run_for(50ms);
    const timed_end end = runUnanswered(full.local_endpoint().port(), 50ms, false);
    CHECK(end.outcome == attempt_outcome::NotRun);
    CHECK(end.time < 300ms);
}

TEST_CASE("a request that is cancelled while its connection opens isn't sent")
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor silent(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    const timed_end end = runUnanswered(silent.local_endpoint().port(), 2s, true);
    CHECK(end.outcome == attempt_outcome::Cancelled);
    CHECK(end.time < 1s);
    boost::asio::ip::tcp::socket accepted = silent.accept();
    char byte = 0;
    boost::system::error_code error;
    CHECK(accepted.read_some(boost::asio::buffer(&byte, 1), error) == 0);
}
