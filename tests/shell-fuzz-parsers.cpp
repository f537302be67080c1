// Parsers of outside bytes, on random and on damaged input: they answer, and never end the process.
#include <tamarackglade/config/parse_manifest.hpp>
#include <tamarackglade/entry/completion_request.hpp>
#include <tamarackglade/entry/multipart.hpp>
#include <tamarackglade/entry/upstream_message.hpp>
#include <tamarackglade/membership/vm_list.hpp>
#include <tamarackglade/settings/load_settings.hpp>
#include <tamarackglade/wire/frame_codec.hpp>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <fstream>
#include <sstream>

using namespace tamarack;

namespace {

const std::string Manifest = "[fleet]\nname = f\n[group g]\nkind = engine\n"
                             "[model m]\ngroup = g\nversion = 1\nmax-tokens = 100\n"
                             "[customer c]\nrate-per-second = 1\nburst = 1\n";

rc::Gen<std::string> anyBytes()
{
    return rc::gen::container<std::string>(rc::gen::arbitrary<char>());
}

// The text after a few random changes: bytes set, cut out, doubled, or the end cut off.
std::string damaged(std::string text)
{
    const int changes = *rc::gen::inRange(0, 6);
    for (int i = 0; i < changes && !text.empty(); ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto size = *rc::gen::inRange<std::size_t>(1, 20);
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            text[at] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            text.erase(at, size);
            break;
        case 2:
            text.insert(at, text.substr(at, size));
            break;
        default:
            text.resize(at);
        }
    }
    return text;
}

std::string readFile(const std::string &path)
{
    const std::ifstream file(path);
    REQUIRE(file.good());
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string someFrame()
{
    schema::start_call_message call;
    call.attempt = "attempt-1";
    call.customer = "customer";
    call.method = "POST";
    call.target = "/v1/chat/completions";
    call.body.assign(100, 'b');
    return encodeFrame(frameBody(call)).substr(FrameHeaderBytes);
}

// Either an error, or a frame that can be written and read again.
bool isSoundFrame(const std::string &bytes)
{
    const auto frame = decodeFrame(bytes);
    if (!frame.ok())
        return absl::IsInvalidArgument(frame.status());
    return frame->body.type == schema::frame_body::NONE
           || decodeFrame(encodeFrame(frame->body).substr(FrameHeaderBytes)).ok();
}

std::variant<completion_request, api_error> parseChat(const std::string &body)
{
    static const auto Parsed = parseManifest(Manifest);
    REQUIRE(Parsed.ok());
    return parseCompletionRequest("/v1/chat/completions", body, *Parsed.parsed, customer_id("c"));
}

// Either a request whose rebuilt body is JSON, or a 4xx.
bool isSound(const std::variant<completion_request, api_error> &result)
{
    if (const auto *error = std::get_if<api_error>(&result))
        return error->status >= 400 && error->status < 500 && error->ran == executed::No;
    return nlohmann::json::accept(std::get<completion_request>(result).body);
}

constexpr const char *ChatBody =
    R"({"model":"m","max_tokens":5,"stream":true,"messages":[{"role":"user","content":"hi"}]})";

} // namespace

TEST_CASE("fuzz: frames")
{
    const std::string frame = someFrame();
    REQUIRE(decodeFrame(frame).ok());
    CHECK(rc::check("random bytes", [] { RC_ASSERT(isSoundFrame(*anyBytes())); }));
    CHECK(rc::check("damaged frames", [&] { RC_ASSERT(isSoundFrame(damaged(frame))); }));
}

TEST_CASE("fuzz: multipart bodies")
{
    const std::string type = "multipart/form-data; boundary=B";
    const std::string body =
        "--B\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n"
        "--B\r\nContent-Disposition: form-data; name=\"file\"; "
        "filename=\"f\"\r\n\r\n{}\r\n--B--\r\n";
    const auto parts = parseMultipart(type, body);
    REQUIRE(parts.ok());
    REQUIRE(parts->size() == 2);
    CHECK((*parts)[1].content == "{}");
    const auto within = [](const std::string &text, const std::vector<form_part> &found) {
        for (const form_part &part : found) {
            RC_ASSERT(part.content.data() >= text.data());
            RC_ASSERT(part.content.data() + part.content.size() <= text.data() + text.size());
        }
    };
    CHECK(rc::check("contents stay within the body", [&] {
        const std::string changed = damaged(body);
        const auto result = parseMultipart(damaged(type), changed);
        if (result.ok())
            within(changed, *result);
    }));
    CHECK(rc::check("a content without the boundary comes back whole", [&] {
        std::string content = *anyBytes();
        RC_PRE(content.find("--B") == std::string::npos);
        const std::string text =
            "--B\r\nContent-Disposition: form-data; name=\"x\"\r\n\r\n" + content + "\r\n--B--";
        const auto result = parseMultipart(type, text);
        RC_ASSERT(result.ok());
        RC_ASSERT(result->at(0).content == content);
    }));
}

TEST_CASE("fuzz: manifests and settings")
{
    for (const char *path : {"examples/permit-assistant.ini", "examples/closure-advisories.ini"}) {
        const std::string text = readFile(path);
        REQUIRE(parseManifest(text).ok());
        CHECK(rc::check("a manifest is accepted or has faults", [&] {
            const manifest_result result = parseManifest(damaged(text));
            RC_ASSERT(result.ok() == result.faults.empty());
        }));
    }
    CHECK(rc::check("random bytes as a manifest",
                    [] { RC_ASSERT_FALSE(parseManifest(*anyBytes()).ok()); }));
    const std::string settings = "[tamarack-entry]\nvm = a\nzone = b\nthreads = 2\n";
    CHECK(rc::check("settings", [&] {
        setting_values values(entryOptions());
        std::vector<setting_fault> faults;
        readSettingsText(entryOptions(), damaged(settings), "s", values, faults);
        RC_ASSERT(values.integer("threads") >= 1);
    }));
}

TEST_CASE("fuzz: VM lists")
{
    const std::string list = R"([{"vm":"a","incarnation":1,"role":"side","group":"g","zone":"z",)"
                             R"("region":"r","address":"127.0.0.1:1","state":"live"}])";
    REQUIRE(parseVmList(list).ok());
    CHECK(rc::check("damaged lists", [&] {
        const auto parsed = parseVmList(damaged(list));
        RC_ASSERT(parsed.ok() || absl::IsInvalidArgument(parsed.status()));
    }));
}

TEST_CASE("fuzz: completion requests")
{
    REQUIRE(std::holds_alternative<completion_request>(parseChat(ChatBody)));
    CHECK(rc::check("random bytes", [] { RC_ASSERT(isSound(parseChat(*anyBytes()))); }));
    CHECK(rc::check("damaged requests", [] { RC_ASSERT(isSound(parseChat(damaged(ChatBody)))); }));
}

TEST_CASE("completion requests: numbers out of range are refused")
{
    for (const char *value : {"0", "-1", "1.5", "1e99", "18446744073709551615", "\"5\"", "[]"}) {
        const auto result =
            parseChat(std::string(R"({"model":"m","messages":[{"role":"user"}],"max_tokens":)")
                      + value + "}");
        INFO(value);
        CHECK(std::holds_alternative<api_error>(result));
    }
}

TEST_CASE("completion requests: deep nesting is refused, not followed")
{
    constexpr std::size_t Depth = 500'000; // a body of 1 MB
    const auto result = parseChat(R"({"model":"m","messages":[{"role":"user","content":"hi"}],"x":)"
                                  + std::string(Depth, '[') + std::string(Depth, ']') + "}");
    REQUIRE(std::holds_alternative<api_error>(result));
    CHECK(std::get<api_error>(result).status == 400);
}

TEST_CASE("upstreams' errors of any shape give a message")
{
    CHECK(upstreamMessage(R"({"error":{"message":"busy"}})") == "busy");
    const std::string general = upstreamMessage("");
    CHECK_FALSE(general.empty());
    for (const char *body : {"{", "[]", R"({"error":"text"})", R"({"error":{}})",
                             R"({"error":{"message":null}})", R"({"error":{"message":5}})"})
        CHECK(upstreamMessage(body) == general);
    CHECK(upstreamMessage(std::string(500'000, '[')) == general);
}
