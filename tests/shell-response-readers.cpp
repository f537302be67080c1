// Tests that no reader of responses takes bytes that are none, or a response that broke off, for
// the answer to its request.
#include "support/malformed_lines.hpp"
#include "support/scripted_upstream.hpp"
#include "support/side_call.hpp"
#include <tamarackglade/http/http_client.hpp>
#include <tamarackglade/load/load_client.hpp>
#include <tamarackglade/platform/platform_client.hpp>
#include <tamarackglade/runtime/io_thread.hpp>
#include <tamarackglade/runtime/steady_now.hpp>
#include <tamarackglade/side/order_messages.hpp>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include <string>

using namespace tamarack;
using tamarack::testing::callUpstream;
using tamarack::testing::ending;
using tamarack::testing::malformedResponses;
using tamarack::testing::scripted_upstream;
using tamarack::testing::upstream_script;

namespace {

/// Runs a task of an I/O thread against an upstream that plays the script.
template <class Task>
void runAgainst(const upstream_script &script, const Task &task)
{
    const scripted_upstream upstream(script);
    io_thread thread;
    thread.run([&] { task(thread, upstream.address()); });
}

/// Outcome of a request of the load tool to an upstream that plays the script.
request_outcome loadOutcome(const upstream_script &script)
{
    request_outcome outcome;
    runAgainst(script, [&](io_thread &thread, const std::string &address) {
        load_profile profile;
        profile.targets = {{"engine", address, 1}};
        profile.customers.emplace_back().name = "c";
        profile.classes.emplace_back();
        load_client client(thread.io(), profile);
        outcome = client.execute(planned_request{}, steadyNow());
    });
    return outcome;
}

} // namespace

TEST_CASE("http client: bytes that are no response fail as such and close the connection")
{
    for (const std::string &response : malformedResponses("{}")) {
        CAPTURE(response);
        runAgainst({response, "", ending::Hold}, [](io_thread &thread, const std::string &address) {
            http_client client(thread.io(), address);
            CHECK(absl::IsAborted(client.fetch({}).status()));
            CHECK_FALSE(client.idle());
        });
    }
}

TEST_CASE("log client: an append with no proper answer may have been done, and a read has failed")
{
    for (const std::string &response : malformedResponses("{}")) {
        CAPTURE(response);
        runAgainst({response, "", ending::Hold}, [](io_thread &thread, const std::string &address) {
            platform_client client(thread, {address});
            CHECK(absl::IsUnknown(client.append("stream", "record").status()));
        });
        runAgainst({response, "", ending::Hold}, [](io_thread &thread, const std::string &address) {
            platform_client client(thread, {address});
            const auto read =
                client.read("stream", log_offset(3), 10, std::chrono::milliseconds(0));
            CHECK(absl::IsUnavailable(read.status()));
        });
        runAgainst({response, "", ending::Hold}, [](io_thread &thread, const std::string &address) {
            platform_client client(thread, {address});
            CHECK(absl::IsUnavailable(client.vmListText().status()));
        });
    }
}

TEST_CASE("side: bytes that are no response reach no entry as an answer")
{
    for (const std::string &response : malformedResponses("{}")) {
        CAPTURE(response);
        io_thread thread;
        const auto events = callUpstream(thread, response, ending::Hold);
        CHECK(events->end == upstream_end::Broken);
        const bool isSoundHead = response.find("\r\n\r\n2\r\n{}") != std::string::npos;
        CHECK(events->hasHead == isSoundHead);
    }
}

TEST_CASE("side: what becomes of an order that got no proper answer is unknown")
{
    for (const std::string &response : malformedResponses("{}")) {
        CAPTURE(response);
        runAgainst({response, "", ending::Hold}, [](io_thread &thread, const std::string &address) {
            http_client client(thread.io(), address);
            CHECK(readOrderAnswer(client.fetch({})).outcome == order_outcome::Unknown);
        });
    }
}

TEST_CASE("load tool: bytes that are no response are neither an answer nor a refusal")
{
    for (const std::string &response : malformedResponses("{}")) {
        CAPTURE(response);
        const auto kind = loadOutcome({response, "", ending::Hold}).kind;
        CHECK((kind == outcome_kind::Failed || kind == outcome_kind::Cut));
    }
}

TEST_CASE("load tool: an answer or refusal that breaks off is cut, and none of its status")
{
    const std::string body = R"({"error":{"code":"full"}})";
    for (const std::string status : {"200 OK", "400 Odd", "429 Full", "500 Odd", "503 Full"}) {
        const std::string head = "HTTP/1.1 " + status + "\r\n";
        const std::string length = absl::StrCat(head, "Content-Length: 90\r\n\r\n", body);
        const std::string chunks =
            absl::StrCat(head, "Transfer-Encoding: chunked\r\n\r\n90\r\n", body);
        const std::string unframed = absl::StrCat(head, "\r\n", body);
        for (const upstream_script &script : {upstream_script{length, "", ending::Close},
                                              {length, "", ending::Reset},
                                              {chunks, "", ending::Close},
                                              {unframed, "", ending::Reset}}) {
            CAPTURE(script.beforePause);
            CHECK(loadOutcome(script).kind == outcome_kind::Cut);
        }
    }
}
