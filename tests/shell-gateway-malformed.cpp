// Tests that bytes which are no HTTP response never become an answer, whatever they claim.
#include "support/malformed_lines.hpp"
#include "support/received_response.hpp"
#include <platform/platform_store.hpp>
#include <tamarackglade/runtime/io_thread.hpp>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include <string>

using namespace tamarack;
using tamarack::testing::collecting_sink;
using tamarack::testing::ending;
using tamarack::testing::Events;
using tamarack::testing::framing;
using tamarack::testing::looksComplete;
using tamarack::testing::MalformedFieldLines;
using tamarack::testing::malformedResponses;
using tamarack::testing::MalformedStatusLines;
using tamarack::testing::receive;
using tamarack::testing::received_response;
using tamarack::testing::responseText;
using tamarack::testing::scripted_upstream;
using tamarack::testing::upstream_script;

namespace {

const std::string Fields = "Request-Id: r1\r\nResponse-Signature: s\r\n";
const std::string Framing = "Content-Length: " + std::to_string(Events.size()) + "\r\n";

std::string responseWith(const std::string &statusLine, const std::string &fields = Fields)
{
    return statusLine + "\r\n" + fields + Framing + "\r\n" + Events;
}

void checkRejected(const received_response &received)
{
    CHECK(received.outcome == attempt_outcome::Broken);
    CHECK(received.text.empty());
    CHECK_FALSE(received.isKept);
}

} // namespace

TEST_CASE("a response whose status line is malformed is no answer, and its connection isn't kept")
{
    io_thread thread;
    for (const std::string &line : MalformedStatusLines) {
        CAPTURE(line);
        for (const bool streamed : {true, false}) {
            for (const ending end : {ending::Hold, ending::Close, ending::Reset})
                checkRejected(receive(thread, {responseWith(line), "", end}, streamed, false));
        }
    }
}

TEST_CASE("a malformed status line is none wherever its packets end")
{
    io_thread thread;
    for (const std::string &line : MalformedStatusLines) {
        CAPTURE(line);
        const std::string text = responseWith(line);
        for (std::size_t border = 0; border <= line.size() + 2; ++border) {
            CAPTURE(border);
            checkRejected(
                receive(thread, {text.substr(0, border), text.substr(border)}, true, false));
        }
    }
}

TEST_CASE("a malformed status claims nothing: neither that its request ran nor that it didn't")
{
    io_thread thread;
    for (const std::string &line : MalformedStatusLines) {
        CAPTURE(line);
        for (const char *claim :
             {"Not-Executed: 1\r\n", "Retry-After: 1\r\n", "Server-Leaving: 1\r\n"}) {
            const auto received = receive(
                thread, {responseWith(line, Fields + claim), "", ending::Hold}, true, false);
            checkRejected(received);
        }
    }
}

TEST_CASE("a stream isn't ended or continued by a response with a malformed status")
{
    io_thread thread;
    const std::string next = "id: 3\ndata: d\n\n";
    for (const std::string &line : MalformedStatusLines) {
        CAPTURE(line);
        for (const std::string &body : {std::string(), next}) {
            for (const framing framed : {framing::Length, framing::Chunks, framing::UntilClose}) {
                const std::string plain = responseText(framed, body);
                const std::string text = line + plain.substr(plain.find("\r\n"));
                checkRejected(receive(thread, {text, "", ending::Close}, true, false, 2));
            }
        }
    }
}

TEST_CASE("a malformed status behind interim responses, or as one of them, is no answer")
{
    io_thread thread;
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
    for (const std::string &line : MalformedStatusLines) {
        CAPTURE(line);
        checkRejected(receive(thread, {interim, responseWith(line)}, true, false));
        checkRejected(receive(thread, {line + "\r\n\r\n" + responseWith("HTTP/1.1 200 OK"), ""},
                              true, false));
    }
}

TEST_CASE("each status from 200 to 599 is an answer")
{
    io_thread thread;
    for (const unsigned status :
         {200U, 201U, 226U, 299U, 300U, 399U, 400U, 418U, 451U, 499U, 500U, 599U}) {
        CAPTURE(status);
        const std::string line = "HTTP/1.1 " + std::to_string(status) + " ";
        const auto received = receive(thread, {responseWith(line), "", ending::Hold}, false, false);
        CHECK(received.outcome == attempt_outcome::Answered);
        CHECK(received.text == Events);
        CHECK(received.isKept);
    }
}

TEST_CASE("a head with a malformed field line is no answer, wherever in the head the line is")
{
    io_thread thread;
    for (const std::string &line : MalformedFieldLines) {
        CAPTURE(line);
        const std::string odd = line + "\r\n";
        for (const std::string &fields :
             {odd + Fields, "Request-Id: r1\r\n" + odd + "Response-Signature: s\r\n"}) {
            for (const bool streamed : {true, false}) {
                for (const ending end : {ending::Hold, ending::Close})
                    checkRejected(receive(thread,
                                          {responseWith("HTTP/1.1 200 OK", fields), "", end},
                                          streamed, false));
            }
        }
        const std::string last =
            absl::StrCat("HTTP/1.1 200 OK\r\n", Fields, Framing, odd, "\r\n", Events);
        checkRejected(receive(thread, {last, "", ending::Hold}, true, false));
        const std::string unframed =
            absl::StrCat("HTTP/1.1 200 OK\r\n", Fields, odd, "\r\n", Events);
        checkRejected(receive(thread, {unframed, "", ending::Close}, false, false));
    }
}

TEST_CASE("a malformed field line in an interim head is no answer")
{
    io_thread thread;
    for (const std::string &line : MalformedFieldLines) {
        CAPTURE(line);
        const std::string interim = "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n";
        checkRejected(receive(thread, {interim, responseWith("HTTP/1.1 200 OK")}, true, false));
    }
}

TEST_CASE("a malformed field line is none wherever its packets end")
{
    io_thread thread;
    for (const std::string &line : MalformedFieldLines) {
        CAPTURE(line);
        const std::string start = "HTTP/1.1 200 OK\r\n" + Fields;
        const std::string text = absl::StrCat(start, line, "\r\n", Framing, "\r\n", Events);
        for (std::size_t border = start.size() - 2; border <= start.size() + line.size() + 3;
             ++border) {
            CAPTURE(border);
            checkRejected(
                receive(thread, {text.substr(0, border), text.substr(border)}, true, false));
        }
    }
}

TEST_CASE("a body whose trailers have a malformed line isn't whole")
{
    io_thread thread;
    const std::string chunked = responseText(framing::Chunks, Events);
    const std::string upToTrailers = chunked.substr(0, chunked.size() - 2);
    for (const std::string &line : MalformedFieldLines) {
        CAPTURE(line);
        const std::string odd = line + "\r\n";
        for (const std::string &trailers : {odd, odd + "X-Last: v\r\n", "X-First: v\r\n" + odd}) {
            const std::string text = upToTrailers + trailers + "\r\n";
            const std::size_t trailersAt = upToTrailers.size();
            for (const bool streamed : {true, false}) {
                for (std::size_t border = trailersAt - 2; border < text.size();
                     border += streamed ? 1 : 5) {
                    CAPTURE(border);
                    const upstream_script script{text.substr(0, border), text.substr(border),
                                                 ending::Hold};
                    const auto received = receive(thread, script, streamed, false);
                    CHECK(received.outcome == attempt_outcome::Broken);
                    CHECK_FALSE(received.isKept);
                }
            }
        }
    }
}

TEST_CASE("a body in a transfer coding that the request didn't ask for is no answer's body")
{
    io_thread thread;
    const std::string chunked = responseText(framing::Chunks, Events);
    const std::string name = "Transfer-Encoding: ";
    const std::size_t codingAt = chunked.find(name) + name.size();
    for (const std::string coding : {"gzip", "identity", "x-chunked", "gzip, chunked",
                                     "chunked, gzip", "chunked, chunked", "\"chunked\""}) {
        CAPTURE(coding);
        std::string text = chunked;
        text.replace(codingAt, std::string("chunked").size(), coding);
        for (const bool streamed : {true, false})
            checkRejected(receive(thread, {text, "", ending::Close}, streamed, false));
        std::string twoFields = chunked;
        twoFields.insert(codingAt, absl::StrCat(coding, "\r\n", name));
        checkRejected(receive(thread, {twoFields, "", ending::Close}, false, false));
    }
}

TEST_CASE("sound fields and trailers are taken, whatever their values hold")
{
    io_thread thread;
    const std::string odd =
        "X-Odd: \t a\tb \xe9 \"(;,)\" : \r\nX!#$%&'*+-.^_`|~9:\r\nx-empty:\t\r\n";
    const auto whole = receive(
        thread, {responseWith("HTTP/1.1 200 OK", odd + Fields), "", ending::Hold}, true, false);
    CHECK(looksComplete(whole));
    CHECK(whole.isKept);
    const std::string chunked = responseText(framing::Chunks, Events);
    const auto behind =
        receive(thread, {chunked.substr(0, chunked.size() - 2) + odd + "\r\n", "", ending::Hold},
                true, false);
    CHECK(looksComplete(behind));
    CHECK(behind.text == Events);
    CHECK(behind.isKept);
}

namespace {

/// Lets the store's client make one call to a store that sends the response.
template <class Call>
void callStore(const std::string &response, const Call &call)
{
    constexpr std::size_t AnswerBytes = 1'000'000;
    const scripted_upstream server({response, "", ending::Hold});
    io_thread thread;
    thread.run([&] {
        platform::platform_store store(thread, server.address(), AnswerBytes);
        call(store);
    });
}

} // namespace

TEST_CASE("store: an append with a malformed answer may have been done")
{
    const stream_partition partition{stream_name("s"), 0};
    for (const std::string &response : malformedResponses(R"({"offset":1,"end":2})")) {
        CAPTURE(response);
        callStore(response, [&](platform::platform_store &store) {
            CHECK(store.append(partition, {"record"}, std::nullopt).result
                  == append_result::Unknown);
        });
    }
}

TEST_CASE("store: a malformed answer holds no records and says of none that they are lost")
{
    const stream_partition partition{stream_name("s"), 0};
    for (const std::string &response : malformedResponses(std::string(16, '\0'))) {
        CAPTURE(response);
        callStore(response, [&](platform::platform_store &store) {
            const auto wait = std::chrono::milliseconds(0);
            CHECK(store.read(partition, stream_position(3), wait).result == read_result::Failed);
        });
    }
    for (const std::string &response : malformedResponses(R"({"items":[],"end":0})")) {
        CAPTURE(response);
        callStore(response, [&](platform::platform_store &store) {
            CHECK_FALSE(store.newest(partition).read);
        });
    }
}

TEST_CASE("an upstream whose malformed answer states its start hasn't stated it")
{
    io_thread thread;
    for (const std::string &response : malformedResponses(R"({"born":7})")) {
        CAPTURE(response);
        const scripted_upstream server({response, "", ending::Hold});
        thread.run([&] {
            upstream_pool pool(thread.io());
            const platform::http_protocol protocol;
            upstream_caller caller(pool, protocol, {});
            live_upstream upstream;
            upstream.address = server.address();
            upstream.incarnation = incarnation_number(7);
            stream_progress progress;
            collecting_sink sink(false);
            attempt_handle handle;
            const attempt_limits limits{bootNow() + std::chrono::seconds(10), duration::zero(),
                                        std::nullopt, std::chrono::seconds(1),
                                        start_check::Required};
            const attempt_result result =
                caller.run(upstream, {}, request_id("r1"), true, limits, progress, sink, handle);
            CHECK(result.outcome == attempt_outcome::NotRun);
            CHECK(result.evidence.start == start_evidence::Unanswered);
        });
    }
}
