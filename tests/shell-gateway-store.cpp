// Tests of the store's client with answers that are proper HTTP but not what the store answers.
#include "support/scripted_upstream.hpp"
#include <platform/platform_store.hpp>
#include <tamarackglade/runtime/io_thread.hpp>

#include <doctest/doctest.h>

#include <string>

using namespace tamarack;

namespace {

const stream_partition Partition{stream_name("s"), 0};

/// Lets the client make one call to a store that answers 200 with this body.
template <class Call>
void callStore(const std::string &body, const Call &call)
{
    constexpr std::size_t AnswerBytes = 1'000'000;
    const std::string response =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    const testing::scripted_upstream server({response, "", testing::ending::Hold});
    io_thread thread;
    thread.run([&] {
        platform::platform_store store(thread, server.address(), AnswerBytes);
        call(store);
    });
}

} // namespace

// Guards against contents that are looked for at position 0, where another one is.
TEST_CASE("an append whose answer has no position may have been done")
{
    for (const char *body :
         {"", "{}", "[]", R"({"end":2})", R"({"offset":null,"end":2})", R"({"offset":"1","end":2})",
          R"({"offset":-1,"end":2})", R"({"offset":1.5,"end":2})", R"({"offset":[1],"end":2})"}) {
        CAPTURE(body);
        callStore(body, [](platform::platform_store &store) {
            CHECK(store.append(Partition, {"record"}, std::nullopt).result
                  == append_result::Unknown);
        });
    }
    callStore(R"({"offset":1,"end":2})", [](platform::platform_store &store) {
        const append_reply reply = store.append(Partition, {"record"}, std::nullopt);
        CHECK(reply.result == append_result::Appended);
        CHECK(reply.position == stream_position(1));
    });
}

// Guards against records that count as removed as their page has no list.
TEST_CASE("a page of newest records without its list, its end or its mark is no page")
{
    for (const char *body :
         {"{}", R"({"more":false,"end":6})", R"({"items":null,"more":false,"end":6})",
          R"({"items":{},"more":false,"end":6})", R"({"items":[],"more":false})",
          R"({"items":[],"more":false,"end":"6"})", R"({"items":[],"more":"false","end":6})",
          R"({"items":[],"more":null,"end":6})", R"({"items":[],"end":6})"}) {
        CAPTURE(body);
        callStore(body, [](platform::platform_store &store) {
            CHECK_FALSE(store.newest(Partition).read);
        });
    }
    callStore(R"({"items":[{"key":"config","value":"e30=","offset":4}],"more":false,"end":6})",
              [](platform::platform_store &store) {
                  const newest_reply reply = store.newest(Partition);
                  CHECK(reply.read);
                  CHECK(reply.end == stream_position(6));
                  REQUIRE(reply.records.size() == 1);
                  CHECK(reply.records[0].value == "{}");
              });
}
