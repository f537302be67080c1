// Tests of fibers over Asio.
#include <tamarackglade/runtime/asio_scheduler.hpp>
#include <tamarackglade/runtime/fiber_token.hpp>
#include <tamarackglade/runtime/io_thread.hpp>
#include <tamarackglade/runtime/tcp_listener.hpp>
#include <tamarackglade/runtime/tcp_stream.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/future.hpp>
#include <boost/fiber/operations.hpp>
#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>

using namespace tamarack;
namespace asio = boost::asio;

namespace {

// Accepts one connection and sends back what it reads, once.
void echoOnce(asio::ip::tcp::acceptor &acceptor)
{
    auto accepted = acceptor.async_accept(FiberToken);
    tcp_stream stream(boost::beast::tcp_stream(std::move(accepted.value)));
    char bytes[64];
    boost::system::error_code error;
    const auto size = stream.readSome(asio::buffer(bytes), error);
    stream.writeSome(asio::buffer(bytes, size), error);
}

std::string sendAndReceive(asio::io_context &io, const std::string &address)
{
    auto stream = tcp_stream::connect(io, address, std::chrono::seconds(5));
    REQUIRE(stream.ok());
    boost::system::error_code error;
    (*stream)->writeSome(asio::buffer("hello", 5), error);
    char bytes[64];
    const auto size = (*stream)->readSome(asio::buffer(bytes), error);
    return {bytes, size};
}

/// What becomes of a scheduler and of the notifications to it.
struct scheduler_life
{
    std::atomic<bool> ended = false;
    std::atomic<bool> notifiedAfterEnd = false;
};

/// Notifications by other threads arrive late, as if the machine had stopped their threads.
class late_scheduler : public asio_scheduler
{
public:
    late_scheduler(std::shared_ptr<asio::io_context> io, std::shared_ptr<scheduler_life> life)
        : asio_scheduler(std::move(io)), m_life(std::move(life))
    {
    }
    ~late_scheduler() override { m_life->ended = true; }

    void notify() noexcept override
    {
        const auto life = m_life; // this scheduler may be gone after the pause
        if (std::this_thread::get_id() != m_thread)
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
        if (life->ended)
            life->notifiedAfterEnd = true;
        else
            asio_scheduler::notify();
    }

private:
    const std::thread::id m_thread = std::this_thread::get_id();
    const std::shared_ptr<scheduler_life> m_life;
};

} // namespace

// Guards against a heap that is corrupted at the end of a program, by a wake of a thread that
// ended.
TEST_CASE("the stop of a thread touches its scheduler no more once the thread may have ended")
{
    const auto life = std::make_shared<scheduler_life>();
    std::atomic<bool> begun = false;
    io_thread thread([life](const std::shared_ptr<asio::io_context> &io) {
        boost::fibers::use_scheduling_algorithm<late_scheduler>(io, life);
    });
    // The thread is busy while it is stopped, so that it needs no notification to go on.
    thread.spawn([&begun] {
        begun = true;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    });
    while (!begun)
        std::this_thread::yield();
    thread.stop();
    CHECK(life->ended);
    CHECK_FALSE(life->notifiedAfterEnd);
}

TEST_CASE("fibers wait for sockets without blocking their thread")
{
    std::string received;
    std::thread thread([&] {
        auto io = std::make_shared<asio::io_context>();
        boost::fibers::use_scheduling_algorithm<asio_scheduler>(io);
        asio::ip::tcp::acceptor acceptor(*io, {asio::ip::make_address("127.0.0.1"), 0});
        const auto port = acceptor.local_endpoint().port();
        boost::fibers::fiber server([&] { echoOnce(acceptor); });
        boost::fibers::fiber client(
            [&] { received = sendAndReceive(*io, "127.0.0.1:" + std::to_string(port)); });
        server.join();
        client.join();
    });
    thread.join();
    CHECK(received == "hello");
}

TEST_CASE("malformed addresses are errors")
{
    CHECK_FALSE(parseEndpoint("localhost:1").ok());
    CHECK_FALSE(parseEndpoint("127.0.0.1").ok());
    CHECK_FALSE(parseEndpoint("127.0.0.1:70000").ok());
    CHECK(parseEndpoint("[::1]:80").ok());
}

TEST_CASE("fibers of one thread wait for work on another, many times")
{
    constexpr int Fibers = 20;
    constexpr int RunsEach = 2'000;
    std::atomic<int> done = 0;
    io_thread worker;
    {
        io_thread callers;
        for (int i = 0; i < Fibers; ++i) {
            callers.spawn([&] {
                for (int run = 0; run < RunsEach; ++run)
                    worker.run([&] { ++done; });
            });
        }
        // The first fibers have begun before the thread is asked to end.
        callers.run([] {});
    }
    CHECK(done == Fibers * RunsEach);
}

TEST_CASE("a read has its own timeout, whatever the one before it had")
{
    io_thread thread;
    boost::fibers::promise<void> asked;
    boost::fibers::promise<void> ended;
    tcp_listener listener(thread, [&](boost::beast::tcp_stream accepted) {
        tcp_stream stream(std::move(accepted));
        boost::system::error_code error;
        stream.writeSome(asio::buffer("a", 1), error);
        asked.get_future().get();
        boost::this_fiber::sleep_for(std::chrono::milliseconds(150));
        stream.writeSome(asio::buffer("b", 1), error);
        ended.get_future().get();
    });
    thread.run([&] {
        const auto port = listener.listen("127.0.0.1:0");
        REQUIRE(port.ok());
        auto stream = tcp_stream::connect(thread.io(), "127.0.0.1:" + std::to_string(*port),
                                          std::chrono::seconds(5));
        REQUIRE(stream.ok());
        char byte = 0;
        boost::system::error_code error;
        const auto read = [&](std::chrono::milliseconds timeout) {
            (*stream)->setTimeout(timeout);
            return (*stream)->readSome(asio::buffer(&byte, 1), error);
        };
        CHECK(read(std::chrono::minutes(10)) == 1);
        CHECK(byte == 'a');
        // A shorter one after a longer one, whose timer may still run.
        CHECK(read(std::chrono::milliseconds(20)) == 0);
        CHECK(error == boost::beast::error::timeout);
        // A longer one that begins before a shorter one would have ended.
        CHECK(read(std::chrono::milliseconds(100)) == 0);
        asked.set_value();
        CHECK(read(std::chrono::minutes(10)) == 1);
        CHECK(byte == 'b');
        CHECK_FALSE(error);
        ended.set_value();
        listener.stopAccepting();
    });
}

TEST_CASE("a read that waits keeps its timeout while another fiber writes")
{
    constexpr std::chrono::milliseconds Timeout{200};
    constexpr int Writes = 64; // some of them go through the event loop
    io_thread thread;
    boost::system::error_code readError;
    std::chrono::steady_clock::duration waited{};
    thread.run([&] {
        asio::ip::tcp::acceptor acceptor(thread.io(), {asio::ip::make_address("127.0.0.1"), 0});
        const auto port = acceptor.local_endpoint().port();
        auto stream =
            tcp_stream::connect(thread.io(), "127.0.0.1:" + std::to_string(port), Timeout);
        REQUIRE(stream.ok());
        auto peer = acceptor.async_accept(FiberToken);
        (*stream)->setTimeout(Timeout);
        boost::fibers::fiber reader([&] {
            const auto begunAt = std::chrono::steady_clock::now();
            char bytes[64];
            (*stream)->readSome(asio::buffer(bytes), readError);
            waited = std::chrono::steady_clock::now() - begunAt;
        });
        boost::system::error_code error;
        for (int i = 0; i < Writes; ++i) {
            (*stream)->writeSome(asio::buffer("x", 1), error);
            boost::this_fiber::yield();
        }
        boost::this_fiber::sleep_for(10 * Timeout);
        peer.value.close(error); // ends a read that has no timeout
        reader.join();
    });
    CHECK(readError == boost::beast::error::timeout);
    CHECK(waited < 5 * Timeout);
}

TEST_CASE("a connection that is always ready doesn't hold up its thread")
{
    // The peer reads faster than the small writes come; another fiber of their thread ends them.
    io_thread peer;
    io_thread thread;
    tcp_listener listener(peer, [](boost::beast::tcp_stream accepted) {
        tcp_stream stream(std::move(accepted));
        std::string bytes(1'000'000, '\0');
        boost::system::error_code error;
        while (!error)
            stream.readSome(asio::buffer(bytes), error);
    });
    std::string address;
    peer.run([&] {
        const auto port = listener.listen("127.0.0.1:0");
        REQUIRE(port.ok());
        address = "127.0.0.1:" + std::to_string(*port);
    });
    thread.run([&] {
        auto stream = tcp_stream::connect(thread.io(), address, std::chrono::seconds(5));
        REQUIRE(stream.ok());
        bool stopped = false;
        boost::fibers::fiber stopper([&] {
            boost::this_fiber::sleep_for(std::chrono::milliseconds(50));
            stopped = true;
        });
        const std::string bytes(64, 'x');
        boost::system::error_code error;
        while (!stopped && !error)
            (*stream)->writeSome(asio::buffer(bytes), error);
        CHECK_FALSE(error);
        stopper.join();
        CHECK(stopped);
    });
    listener.stopAccepting();
}
