// Tests that what callers and other writers name can't become a second request, or another header.
#include <platform/http_protocol.hpp>
#include <tamarackglade/http/request_syntax.hpp>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace tamarack;

namespace {

using header_list = std::vector<std::pair<std::string, std::string>>;

struct read_request
{
    std::string method;
    std::string target;
    header_list headers;
    std::string body;
};

bool isBlank(char c)
{
    return c == ' ' || c == '\t';
}

std::string stripped(std::string text)
{
    while (!text.empty() && isBlank(text.back()))
        text.pop_back();
    while (!text.empty() && isBlank(text.front()))
        text.erase(0, 1);
    return text;
}

// Takes a line off the text; nullopt if it has no end, or a control character but tabs.
std::optional<std::string> takeLine(std::string &text)
{
    const auto end = text.find("\r\n");
    if (end == std::string::npos)
        return std::nullopt;
    std::string line = text.substr(0, end);
    text.erase(0, end + 2);
    const bool isSound = std::all_of(line.begin(), line.end(), [](unsigned char c) {
        return c == '\t' || (c >= 0x20 && c != 0x7F);
    });
    return isSound ? std::optional(line) : std::nullopt;
}

// Reads exactly one request with a length; nullopt for anything else.
std::optional<read_request> readStrictly(std::string text)
{
    read_request request;
    const auto line = takeLine(text);
    if (!line || std::count(line->begin(), line->end(), ' ') != 2)
        return std::nullopt;
    const auto first = line->find(' ');
    const auto last = line->rfind(' ');
    if (line->substr(last) != " HTTP/1.1")
        return std::nullopt;
    request.method = line->substr(0, first);
    request.target = line->substr(first + 1, last - first - 1);
    std::optional<std::size_t> length;
    for (;;) {
        const auto field = takeLine(text);
        if (!field)
            return std::nullopt;
        if (field->empty())
            break;
        const auto colon = field->find(':');
        if (colon == std::string::npos || !isToken(field->substr(0, colon)))
            return std::nullopt;
        const std::string name = field->substr(0, colon);
        const std::string value = stripped(field->substr(colon + 1));
        if (name != "Content-Length") {
            request.headers.emplace_back(name, value);
            continue;
        }
        if (length)
            return std::nullopt;
        length = std::stoul(value);
    }
    if (length.value_or(0) != text.size())
        return std::nullopt;
    request.body = text;
    return request;
}

// Texts in which the characters that end lines and fields are frequent.
rc::Gen<std::string> anyText()
{
    return rc::gen::container<std::string>(
        rc::gen::oneOf(rc::gen::elementOf(std::string("\r\n: \t\0/a", 8)),
                       rc::gen::inRange<char>(32, 127), rc::gen::arbitrary<char>()));
}

rc::Gen<std::string> soundOrAnyText()
{
    return rc::gen::oneOf(rc::gen::container<std::string>(rc::gen::inRange<char>(33, 127)),
                          anyText());
}

std::string jobWith(const nlohmann::json &item)
{
    return nlohmann::json{{"items", {item}}}.dump(-1, ' ', false,
                                                  nlohmann::json::error_handler_t::replace);
}

nlohmann::json soundItem()
{
    return {{"id", "i1"}, {"path", "/p"}, {"body", "Ym9keQ=="}, {"tokens", 10}};
}

} // namespace

TEST_CASE("an accepted batch item becomes exactly one request with exactly its fields")
{
    const platform::http_protocol protocol;
    std::size_t accepted = 0;
    const bool held = rc::check([&] {
        nlohmann::json item = soundItem();
        if (*rc::gen::arbitrary<bool>())
            item["id"] = *soundOrAnyText();
        if (*rc::gen::arbitrary<bool>())
            item["path"] = "/" + *soundOrAnyText();
        const std::string name = *rc::gen::element<std::string>("X-A", "Model", "X-B", "X B", "");
        item["headers"] = {{name, *soundOrAnyText()}};
        const auto items = protocol.decodeBatchItems(jobWith(item));
        if (!items.ok())
            return;
        ++accepted;
        upstream_attempt attempt;
        attempt.upstream = upstream_id("u1");
        const auto request = protocol.encodeItem("host.example", items->front(), attempt);
        const auto text = writeRequest(request, "ignored");
        RC_ASSERT(text.ok());
        const auto read = readStrictly(*text);
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->method == "POST");
        RC_ASSERT(read->target == items->front().path);
        RC_ASSERT(read->body == "body");
        header_list expected{{"Host", "host.example"}};
        for (const auto &header : items->front().headers)
            expected.emplace_back(header->name, stripped(header->value));
        expected.emplace_back("Request-Id", stripped(items->front().id));
        expected.emplace_back("Expect-Instance", "u1");
        RC_ASSERT(read->headers == expected);
    });
    CHECK(held);
    CHECK(accepted > 10);
}

TEST_CASE("a batch item with a line break in a field is refused by the name of the field")
{
    const platform::http_protocol protocol;
    const auto reasonOf = [&](const nlohmann::json &item) {
        return std::string(protocol.decodeBatchItems(jobWith(item)).status().message());
    };
    for (const std::string end : {"\r\n", "\n", "\r", "\x01", "\x7f"}) {
        const std::string smuggled = "a" + end + "X-B: c";
        nlohmann::json item = soundItem();
        item["headers"] = {{"X-A", smuggled}};
        CHECK(reasonOf(item) == "item 0: header X-A has characters that can't be sent");
        item = soundItem();
        item["headers"] = {{smuggled, "a"}};
        CHECK(reasonOf(item).find("has characters that can't be sent") != std::string::npos);
        item = soundItem();
        item["id"] = smuggled;
        CHECK(reasonOf(item) == "item 0: id has characters that can't be sent");
        item = soundItem();
        item["path"] = "/" + smuggled;
        CHECK(reasonOf(item) == "item 0: path has characters that can't be sent");
    }
}

TEST_CASE("a request with any part that could end a line or a field isn't written")
{
    const auto isWritten = [](const http_client_request &request) {
        return writeRequest(request, "127.0.0.1:80").ok();
    };
    http_client_request sound;
    sound.headers.emplace_back("X-A", "b c\td");
    CHECK(isWritten(sound));
    for (const std::string bad : {"a\r\nX: y", "a\nb", "a\rb"}) {
        http_client_request request = sound;
        request.method = bad;
        CHECK_FALSE(isWritten(request));
        request = sound;
        request.target = "/" + bad;
        CHECK_FALSE(isWritten(request));
        request = sound;
        request.host = bad;
        CHECK_FALSE(isWritten(request));
        request = sound;
        request.contentType = bad;
        CHECK_FALSE(isWritten(request));
        request = sound;
        request.headers.emplace_back(bad, "x");
        CHECK_FALSE(isWritten(request));
        request = sound;
        request.headers.emplace_back("X-B", bad);
        CHECK_FALSE(isWritten(request));
    }
    for (const std::string framing : {"Content-Length", "transfer-encoding"}) {
        http_client_request request = sound;
        request.headers.emplace_back(framing, "1");
        CHECK_FALSE(isWritten(request));
    }
}

TEST_CASE("an upstream whose id could end a header is none to use")
{
    const platform::http_protocol protocol;
    const std::string record = R"({"service": "s", "address": "127.0.0.1:80", "zone": "a",
                                   "version": "v", "slots": 8, "state": "ready"})";
    CHECK(protocol.decodeUpstream("i-1", record).ok());
    CHECK_FALSE(protocol.decodeUpstream("i-1\r\nX: y", record).ok());
}

TEST_CASE("percent encoding leaves no byte that has a meaning in a query")
{
    CHECK(percentEncoded("i-7f.3_a~") == "i-7f.3_a~");
    CHECK(percentEncoded("a&b=c d\r\n%") == "a%26b%3Dc%20d%0D%0A%25");
}

// Guards against an upstream that gets the load of a warm one as its record's warm-up is no number.
TEST_CASE("a record of an upstream with a field of another type names no upstream to use")
{
    const platform::http_protocol protocol;
    const nlohmann::json sound = {{"service", "s"},   {"address", "127.0.0.1:8080"},
                                  {"zone", "z"},      {"version", "v1"},
                                  {"slots", 8},       {"state", "ready"},
                                  {"sequence", 1},    {"coldRemainingMs", 2'000},
                                  {"models", nullptr}};
    REQUIRE(protocol.decodeUpstream("u", sound.dump()).ok());
    for (const char *name :
         {"service", "address", "zone", "version", "slots", "state", "coldRemainingMs"}) {
        for (const nlohmann::json &value :
             {nlohmann::json(nullptr), nlohmann::json(true), nlohmann::json::array({1}),
              nlohmann::json::object(),
              sound[name].is_string() ? nlohmann::json(7) : nlohmann::json("7")}) {
            nlohmann::json changed = sound;
            changed[name] = value;
            CAPTURE(changed.dump());
            CHECK_FALSE(protocol.decodeUpstream("u", changed.dump()).ok());
        }
    }
    for (const char *name : {"zone", "version", "coldRemainingMs"}) {
        nlohmann::json without = sound;
        without.erase(name);
        CAPTURE(name);
        CHECK(protocol.decodeUpstream("u", without.dump()).ok());
    }
}
