// Tests of wire connections: the mutual proof, order of frames, bad frames, connecting again.
#include "support/shell_raw_client.hpp"
#include <tamarackglade/runtime/tcp_stream.hpp>
#include <tamarackglade/wire/detail/frame_io.hpp>
#include <tamarackglade/wire/detail/wire_connection.hpp>
#include <tamarackglade/wire/frame_codec.hpp>
#include <tamarackglade/wire/hello.hpp>
#include <tamarackglade/wire/load_wire_settings.hpp>
#include <tamarackglade/wire/wire_link.hpp>
#include <tamarackglade/wire/wire_server.hpp>

#include <doctest/doctest.h>
#include <unistd.h>

#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

using namespace tamarack;
using namespace std::chrono_literals;
using tamarack::testing::raw_client;

namespace {

constexpr auto Patience = 20s; // until a test gives up

wire_settings settingsOf(const std::string &vm, const std::string &secret)
{
    wire_settings settings;
    settings.self.vm = vm_id(vm);
    settings.self.incarnation = incarnation_number(7);
    settings.self.zone = zone_id("zone-1");
    settings.fleetSecret = secret;
    settings.helloTimeout = 500ms;
    return settings;
}

schema::frame_bodyUnion cancelFrame(std::size_t number)
{
    schema::cancel_call_message message;
    message.attempt = std::to_string(number);
    return frameBody(message);
}

// Remembers what happened, so that the test's thread can wait for it.
class recording_handler final : public wire_handler
{
public:
    // Sent to each peer as soon as it is connected.
    std::size_t framesOnConnect = 0;

    void onConnected(const std::shared_ptr<wire_peer> &peer) override
    {
        for (std::size_t i = 0; i < framesOnConnect; ++i)
            peer->send(cancelFrame(i));
        bool ending = false;
        change([&] {
            m_connected.push_back(peer);
            ending = m_ending;
        });
        if (ending)
            peer->close();
    }
    void onFrame(const std::shared_ptr<wire_peer> & /*peer*/, schema::frame_message frame) override
    {
        change([&] { m_frames.push_back(frame.body.Ascancel_call()->attempt); });
    }
    void onClosed(const std::shared_ptr<wire_peer> & /*peer*/) override
    {
        change([&] { ++m_closed; });
    }

    // Closes all connections, also those to come.
    void end()
    {
        const std::lock_guard lock(m_mutex);
        m_ending = true;
        for (const auto &peer : m_connected)
            peer->close();
    }

    [[nodiscard]] bool waitForConnections(std::size_t count)
    {
        return waitFor([&] { return m_connected.size() >= count; });
    }
    [[nodiscard]] bool waitForFrames(std::size_t count)
    {
        return waitFor([&] { return m_frames.size() >= count; });
    }
    [[nodiscard]] bool waitForClosed(std::size_t count)
    {
        return waitFor([&] { return m_closed >= count; });
    }
    [[nodiscard]] std::shared_ptr<wire_peer> peer(std::size_t index)
    {
        const std::lock_guard lock(m_mutex);
        return m_connected.at(index);
    }
    [[nodiscard]] std::vector<std::string> frames()
    {
        const std::lock_guard lock(m_mutex);
        return m_frames;
    }
    [[nodiscard]] std::size_t connections()
    {
        const std::lock_guard lock(m_mutex);
        return m_connected.size();
    }

private:
    template <class Change>
    void change(Change apply)
    {
        const std::lock_guard lock(m_mutex);
        apply();
        m_changed.notify_all();
    }
    template <class Condition>
    bool waitFor(Condition condition)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, Patience, condition);
    }

    std::mutex m_mutex; // guards the members below
    std::condition_variable m_changed;
    std::vector<std::shared_ptr<wire_peer>> m_connected;
    std::vector<std::string> m_frames; // attempts of received cancel_call frames
    std::size_t m_closed = 0;
    bool m_ending = false;
};

// An acceptor on its own thread.
class test_acceptor
{
public:
    explicit test_acceptor(const std::string &secret, const std::string &address = "127.0.0.1:0")
        : m_settings(settingsOf("acceptor", secret))
    {
        m_thread.run([&] {
            m_server = std::make_unique<wire_server>(m_thread, m_settings, handler);
            const auto bound = m_server->listen(address);
            REQUIRE(bound.ok());
            port = *bound;
        });
    }
    test_acceptor(const test_acceptor &) = delete;
    test_acceptor &operator=(const test_acceptor &) = delete;
    ~test_acceptor()
    {
        m_thread.run([&] { m_server->stopAccepting(); });
        handler.end();
    }

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port); }

    recording_handler handler;
    std::uint16_t port = 0;

private:
    wire_settings m_settings;
    io_thread m_thread;
    std::unique_ptr<wire_server> m_server;
};

// A link on its own thread.
class test_connector
{
public:
    test_connector(const std::string &secret, const std::string &address)
        : m_settings(settingsOf("connector", secret)),
          m_link(m_thread, m_settings, handler, address)
    {
    }
    recording_handler handler;

private:
    wire_settings m_settings;
    io_thread m_thread;
    wire_link m_link;
};

std::vector<std::string> numbersUpTo(std::size_t count)
{
    std::vector<std::string> numbers;
    for (std::size_t i = 0; i < count; ++i)
        numbers.push_back(std::to_string(i));
    return numbers;
}

// Holds back what is written after the first write, until flush.
class joining_stream final : public byte_stream
{
public:
    explicit joining_stream(boost::beast::tcp_stream stream) : m_stream(std::move(stream)) { }

    std::size_t readSome(boost::asio::mutable_buffer buffer,
                         boost::system::error_code &error) override
    {
        return m_stream.readSome(buffer, error);
    }
    std::size_t writeSome(boost::asio::const_buffer buffer,
                          boost::system::error_code &error) override
    {
        if (std::exchange(m_first, false))
            return m_stream.writeSome(buffer, error);
        m_held.append(static_cast<const char *>(buffer.data()), buffer.size());
        return buffer.size();
    }
    void flush() { CHECK(detail::writeBytes(m_stream, m_held).ok()); }
    void setTimeout(std::chrono::milliseconds timeout) override { m_stream.setTimeout(timeout); }
    void close() override { m_stream.close(); }
    void shutdownSend() override { m_stream.shutdownSend(); }
    bool peerClosed() override { return m_stream.peerClosed(); }
    [[nodiscard]] std::string peerAddress() const override { return m_stream.peerAddress(); }

private:
    tcp_stream m_stream;
    std::string m_held;
    bool m_first = true;
};

// Both ends of a connection in one thread; each end's hello runs in a fiber.
struct hello_results
{
    absl::StatusOr<peer_identity> connector;
    absl::StatusOr<peer_identity> acceptor;
};

hello_results shakeHands(const wire_settings &connector, const wire_settings &acceptor)
{
    hello_results results;
    io_thread thread;
    tcp_listener listener(thread, [&](boost::beast::tcp_stream accepted) {
        tcp_stream stream(std::move(accepted));
        std::string readAhead;
        results.acceptor = helloAsAcceptor(stream, acceptor, readAhead);
    });
    thread.run([&] {
        const auto port = listener.listen("127.0.0.1:0");
        REQUIRE(port.ok());
        auto stream =
            tcp_stream::connect(thread.io(), "127.0.0.1:" + std::to_string(*port), Patience);
        REQUIRE(stream.ok());
        std::string readAhead;
        results.connector = helloAsConnector(**stream, connector, readAhead);
        listener.stopAccepting();
    });
    thread.stop();
    return results;
}

} // namespace

TEST_CASE("wire hello: both ends learn who the other is")
{
    const auto results = shakeHands(settingsOf("a", "the secret"), settingsOf("b", "the secret"));
    REQUIRE(results.connector.ok());
    REQUIRE(results.acceptor.ok());
    CHECK(results.connector->vm == vm_id("b"));
    CHECK(results.acceptor->vm == vm_id("a"));
    CHECK(results.acceptor->incarnation == incarnation_number(7));
}

TEST_CASE("wire hello: a wrong secret is refused by the acceptor, and the connector gets nothing")
{
    const auto results = shakeHands(settingsOf("a", "wrong"), settingsOf("b", "the secret"));
    CHECK(absl::IsPermissionDenied(results.acceptor.status()));
    CHECK_FALSE(results.connector.ok());
}

TEST_CASE("wire hello: a connector refuses an acceptor that accepts anyone")
{
    // It doesn't know the secret: it takes any proof, and makes up its own.
    io_thread thread;
    tcp_listener listener(thread, [](boost::beast::tcp_stream accepted) {
        tcp_stream stream(std::move(accepted));
        stream.setTimeout(Patience);
        schema::hello_challenge_message challenge;
        challenge.nonce.assign(32, 1);
        CHECK(detail::writeBytes(stream, encodeFrame(frameBody(challenge))).ok());
        std::string buffer;
        CHECK(detail::readFrame(stream, buffer, MaxFrameBytes).ok());
        schema::hello_accepted_message anyone;
        anyone.vm = "impostor";
        anyone.mac.assign(32, 1);
        CHECK(detail::writeBytes(stream, encodeFrame(frameBody(anyone))).ok());
    });
    absl::StatusOr<peer_identity> result;
    thread.run([&] {
        const auto port = listener.listen("127.0.0.1:0");
        REQUIRE(port.ok());
        auto stream =
            tcp_stream::connect(thread.io(), "127.0.0.1:" + std::to_string(*port), Patience);
        REQUIRE(stream.ok());
        std::string readAhead;
        result = helloAsConnector(**stream, settingsOf("a", "the secret"), readAhead);
        listener.stopAccepting();
    });
    CHECK(absl::IsPermissionDenied(result.status()));
}

TEST_CASE("wire: strangers and silent peers never reach the handler")
{
    test_acceptor acceptor("the secret");
    {
        test_connector stranger("wrong", acceptor.address());
        raw_client silent(acceptor.port);
        raw_client noisy(acceptor.port);
        noisy.send("GET / HTTP/1.1\r\n\r\n");
        // The silent one is closed after the hello timeout.
        CHECK(silent.readAll().size() > 0);
        noisy.readAll();
        CHECK(stranger.handler.connections() == 0);
    }
    CHECK(acceptor.handler.connections() == 0);
}

TEST_CASE("wire: frames arrive whole and in order")
{
    constexpr std::size_t Frames = 5'000;
    test_acceptor acceptor("s");
    {
        test_connector connector("s", acceptor.address());
        REQUIRE(connector.handler.waitForConnections(1));
        for (std::size_t i = 0; i < Frames; ++i)
            connector.handler.peer(0)->send(cancelFrame(i));
        CHECK(acceptor.handler.waitForFrames(Frames));
    }
    CHECK(acceptor.handler.frames() == numbersUpTo(Frames));
    CHECK(acceptor.handler.waitForClosed(1));
}

TEST_CASE("wire: frames sent by the acceptor right after the hello are not lost")
{
    constexpr std::size_t Rounds = 30;
    constexpr std::size_t Frames = 50;
    test_acceptor acceptor("s");
    acceptor.handler.framesOnConnect = Frames;
    for (std::size_t round = 0; round < Rounds; ++round) {
        test_connector connector("s", acceptor.address());
        CHECK(connector.handler.waitForFrames(Frames));
        CHECK(connector.handler.connections() == 1);
        CHECK(connector.handler.frames() == numbersUpTo(Frames));
    }
}

TEST_CASE("wire: bytes that arrive together with the end of the hello are handed on")
{
    // Sends its last hello message and a frame in one write.
    constexpr std::string_view Secret = "s";
    io_thread thread;
    const wire_settings acceptor = settingsOf("b", std::string(Secret));
    tcp_listener listener(thread, [&](boost::beast::tcp_stream accepted) {
        joining_stream stream(std::move(accepted));
        std::string readAhead;
        CHECK(helloAsAcceptor(stream, acceptor, readAhead).ok());
        CHECK(detail::writeBytes(stream, encodeFrame(cancelFrame(1))).ok());
        stream.flush();
    });
    thread.run([&] {
        const auto port = listener.listen("127.0.0.1:0");
        REQUIRE(port.ok());
        auto stream =
            tcp_stream::connect(thread.io(), "127.0.0.1:" + std::to_string(*port), Patience);
        REQUIRE(stream.ok());
        std::string readAhead;
        REQUIRE(helloAsConnector(**stream, settingsOf("a", std::string(Secret)), readAhead).ok());
        CHECK_FALSE(readAhead.empty());
        const auto frame = detail::readFrame(**stream, readAhead, MaxFrameBytes);
        REQUIRE(frame.ok());
        CHECK(frame->body.Ascancel_call()->attempt == "1");
        listener.stopAccepting();
    });
}

TEST_CASE("wire: a frame above the limit, or malformed, closes the connection")
{
    const std::string tooLong("\xff\xff\xff\x7f", 4);
    const std::string malformed = std::string("\x08\x00\x00\x00", 4) + "malforms";
    for (const std::string &bytes : {tooLong, malformed, std::string(4, '\0')}) {
        test_acceptor acceptor("s");
        wire_settings settings = settingsOf("connector", "s");
        settings.helloTimeout = Patience;
        io_thread thread;
        thread.run([&] {
            auto stream = tcp_stream::connect(thread.io(), acceptor.address(), Patience);
            REQUIRE(stream.ok());
            std::string readAhead;
            REQUIRE(helloAsConnector(**stream, settings, readAhead).ok());
            CHECK(detail::writeBytes(**stream, bytes).ok());
            // Whatever keepalive was under way, the stream ends.
            boost::system::error_code error;
            char received[256];
            while (!error)
                (*stream)->readSome(boost::asio::buffer(received), error);
            CHECK(error != boost::beast::error::timeout);
        });
        CHECK(acceptor.handler.waitForClosed(1));
        CHECK(acceptor.handler.frames().empty());
    }
}

TEST_CASE("wire: a link connects again after its peer is lost")
{
    auto first = std::make_unique<test_acceptor>("s");
    const std::uint16_t port = first->port;
    test_connector connector("s", first->address());
    REQUIRE(first->handler.waitForConnections(1));
    first->handler.peer(0)->close();
    REQUIRE(connector.handler.waitForClosed(1));
    REQUIRE(connector.handler.waitForConnections(2));
    // The second connection carries frames.
    connector.handler.peer(1)->send(cancelFrame(0));
    CHECK(first->handler.waitForFrames(1));
    // Gone altogether, and back at the same address.
    first.reset();
    test_acceptor second("s", "127.0.0.1:" + std::to_string(port));
    CHECK(second.handler.waitForConnections(1));
}

// Guards against a fleet whose processes trust everybody, as their secret is empty.
TEST_CASE("wire settings: a fleet secret has 16 bytes or more without its blanks")
{
    const std::string path =
        (std::filesystem::temp_directory_path() / ("secret-" + std::to_string(getpid()))).string();
    const auto isTaken = [&](const std::string &content) {
        std::ofstream(path) << content;
        setting_values values(entryOptions());
        std::vector<setting_fault> faults;
        values.set("fleet-secret-file", path, "test", 0, faults);
        return loadWireSettings(values, schema::vm_role::Entry).ok();
    };
    CHECK(isTaken("0123456789abcdef\n"));
    for (const char *content : {"", "\n", "                    \n", "0123456789abcde\n",
                                "\n\n\n\n0123456789abcde\n\n\n\n"}) {
        CAPTURE(content);
        CHECK_FALSE(isTaken(content));
    }
    std::filesystem::remove(path);
    setting_values values(entryOptions());
    std::vector<setting_fault> faults;
    values.set("fleet-secret-file", path, "test", 0, faults);
    CHECK_FALSE(loadWireSettings(values, schema::vm_role::Entry).ok());
}
