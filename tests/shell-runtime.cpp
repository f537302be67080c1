// Tests of fibers over Asio.
#include <tamarackglade/runtime/asio_scheduler.hpp>
#include <tamarackglade/runtime/fiber_token.hpp>
#include <tamarackglade/runtime/io_thread.hpp>
#include <tamarackglade/runtime/tcp_stream.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <doctest/doctest.h>

#include <atomic>
#include <string>
#include <thread>

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

} // namespace

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
