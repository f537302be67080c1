// Tests of responses that come, and end, while their request's body is still being written.
#include "support/received_response.hpp"
#include <tamarackglade/runtime/io_thread.hpp>

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace tamarack;
using tamarack::testing::ending;
using tamarack::testing::Events;
using tamarack::testing::framing;
using tamarack::testing::looksComplete;
using tamarack::testing::receive;
using tamarack::testing::received_response;
using tamarack::testing::responseText;
using tamarack::testing::upstream_script;

namespace {

constexpr std::size_t BufferedUpload = 100'000; // bytes; fits into the buffers of a connection
constexpr std::size_t StalledUpload = 16'000'000; // bytes; doesn't

received_response receiveDuringUpload(io_thread &thread, const upstream_script &script,
                                      bool streamed, std::size_t uploadBytes, bool slow)
{
    http_client_request request;
    request.method = "POST";
    request.body = std::string(uploadBytes, 'x');
    stream_progress progress;
    return receive(thread, script, streamed, slow, progress, request);
}

/// The places at which a response is cut: in the head, behind it, in the body and behind that.
std::vector<std::size_t> cutsOf(const std::string &response)
{
    const std::size_t bodyAt = response.find("\r\n\r\n") + 4;
    return {0, bodyAt / 2, bodyAt, bodyAt + Events.size() / 2, response.size()};
}

} // namespace

TEST_CASE("a response without a length that is reset is never whole, whatever of it was sent")
{
    io_thread thread;
    const std::string whole = responseText(framing::UntilClose, Events);
    for (const std::size_t upload : {std::size_t(0), BufferedUpload, StalledUpload}) {
        for (const std::size_t cut : cutsOf(whole)) {
            for (const bool streamed : {true, false}) {
                for (const bool slow : {true, false}) {
                    CAPTURE(upload);
                    CAPTURE(cut);
                    const upstream_script script{whole.substr(0, cut / 2),
                                                 whole.substr(cut / 2, cut - cut / 2),
                                                 ending::Reset};
                    const auto received =
                        receiveDuringUpload(thread, script, streamed, upload, slow);
                    CHECK(received.outcome == attempt_outcome::Broken);
                    CHECK(Events.starts_with(received.text));
                    CHECK_FALSE(received.isKept);
                }
            }
        }
    }
}

TEST_CASE(
    "an upstream that closes without having read the upload ends no response without a length")
{
    io_thread thread;
    const std::string whole = responseText(framing::UntilClose, Events);
    for (const std::size_t cut : cutsOf(whole)) {
        for (const bool streamed : {true, false}) {
            CAPTURE(cut);
            const auto received = receiveDuringUpload(
                thread, {whole.substr(0, cut), "", ending::Close}, streamed, StalledUpload, false);
            CHECK(received.outcome == attempt_outcome::Broken);
            CHECK_FALSE(received.isKept);
        }
    }
}

TEST_CASE("a response with a length or chunks that is reset is whole with its last byte alone")
{
    io_thread thread;
    for (const framing framed : {framing::Length, framing::Chunks}) {
        const std::string whole = responseText(framed, Events);
        for (const std::size_t upload : {std::size_t(0), BufferedUpload, StalledUpload}) {
            for (const std::size_t cut : cutsOf(whole)) {
                for (const bool streamed : {true, false}) {
                    CAPTURE(upload);
                    CAPTURE(cut);
                    const upstream_script script{whole.substr(0, cut), "", ending::Reset};
                    const auto received =
                        receiveDuringUpload(thread, script, streamed, upload, false);
                    CHECK_FALSE(received.isKept);
                    if (!looksComplete(received))
                        CHECK(received.outcome == attempt_outcome::Broken);
                    else
                        CHECK(cut == whole.size());
                    if (looksComplete(received))
                        CHECK(received.text == Events);
                }
            }
        }
    }
}

TEST_CASE("a response without a length that ends in order is whole, also before its upload's end")
{
    io_thread thread;
    const std::string whole = responseText(framing::UntilClose, Events);
    for (const std::size_t upload : {std::size_t(0), BufferedUpload, StalledUpload}) {
        for (const bool streamed : {true, false}) {
            CAPTURE(upload);
            const auto received = receiveDuringUpload(thread, {whole, "", ending::EndSending},
                                                      streamed, upload, true);
            CHECK(looksComplete(received));
            CHECK(received.text == Events);
            CHECK_FALSE(received.isKept);
        }
    }
}
