// Tests of the HTTP server's limits and framing, with exact bytes from a raw client.
#include "support/shell_raw_client.hpp"
#include <tamarackglade/http/http_server.hpp>

#include <boost/fiber/operations.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <chrono>
#include <memory>
#include <thread>

using namespace tamarack;
using namespace std::chrono_literals;
using tamarack::testing::raw_client;

namespace {

constexpr std::size_t BodyLimit = 1'000; // bytes
constexpr std::uint32_t HeaderLimit = 2'048; // bytes

http_server_options smallLimits()
{
    http_server_options options;
    options.headerLimit = HeaderLimit;
    options.bodyLimit = BodyLimit;
    options.headerTimeout = 300ms;
    options.bodyTimeout = 300ms;
    options.idleTimeout = 400ms;
    return options;
}

// Answers with the method, the path and the body; /stream in chunks, /broken with the first part of
// a stream, /silent not at all.
void echo(http_exchange &exchange)
{
    const http_request &request = exchange.request();
    if (request.path == "/silent")
        return;
    http_response response;
    response.contentType = "text/plain";
    response.body = request.method + " " + request.path + " " + request.body;
    if (request.path != "/stream" && request.path != "/broken")
        return exchange.respond(response);
    exchange.beginStream(response);
    exchange.writeChunk("one");
    if (request.path == "/broken")
        return exchange.abortStream();
    exchange.writeChunk("two");
    exchange.endStream();
}

// A server on its own thread, ended with the scope; clients must be gone by then.
class test_server
{
public:
    explicit test_server(http_server_options options = smallLimits())
    {
        m_thread.run([&] {
            m_server = std::make_unique<http_server>(m_thread, std::move(options), echo);
            const auto bound = m_server->listen("127.0.0.1:0");
            REQUIRE(bound.ok());
            m_port = *bound;
        });
    }
    test_server(const test_server &) = delete;
    test_server &operator=(const test_server &) = delete;
    ~test_server()
    {
        m_thread.run([&] { m_server->drain(); });
    }

    [[nodiscard]] std::uint16_t port() const { return m_port; }

    // What the server sends to these bytes until it closes.
    [[nodiscard]] std::string answerTo(std::string_view bytes) const
    {
        raw_client client(m_port);
        client.send(bytes);
        return client.readAll();
    }

private:
    io_thread m_thread;
    std::unique_ptr<http_server> m_server;
    std::uint16_t m_port = 0;
};

bool hasStatus(const std::string &answer, int status)
{
    return answer.rfind("HTTP/1.1 " + std::to_string(status) + " ", 0) == 0;
}

int answersIn(const std::string &received)
{
    int count = 0;
    for (auto at = received.find("HTTP/1.1 "); at != std::string::npos;
         at = received.find("HTTP/1.1 ", at + 1))
        ++count;
    return count;
}

bool endsWith(const std::string &text, std::string_view end)
{
    return text.size() >= end.size()
           && text.compare(text.size() - end.size(), end.size(), end) == 0;
}

std::string post(std::string_view headers, std::string_view body)
{
    return "POST /p HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + std::string(headers) + "\r\n"
           + std::string(body);
}

std::string postSized(std::size_t size)
{
    return post("Content-Length: " + std::to_string(size) + "\r\n", std::string(size, 'x'));
}

} // namespace

TEST_CASE("http: a body may have exactly the limit")
{
    const test_server server;
    CHECK(endsWith(server.answerTo(postSized(BodyLimit)), std::string(BodyLimit, 'x')));
    CHECK(hasStatus(server.answerTo(postSized(BodyLimit + 1)), 413));
    // Refused by its declared size, before any of it is sent.
    CHECK(hasStatus(server.answerTo(post("Content-Length: 999999999\r\n", "")), 413));
}

TEST_CASE("http: a chunked body is decoded, and limited as a whole")
{
    const test_server server;
    const std::string_view headers = "Transfer-Encoding: chunked\r\n";
    CHECK(endsWith(server.answerTo(post(headers, "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n")),
                   "POST /p abcde"));
    const std::string half = "200\r\n" + std::string(0x200, 'x') + "\r\n";
    CHECK(hasStatus(server.answerTo(post(headers, half + half + "0\r\n\r\n")), 413));
    CHECK(hasStatus(server.answerTo(post(headers, "zz\r\nabc\r\n0\r\n\r\n")), 400));
}

TEST_CASE("http: a header above the limit is refused")
{
    const test_server server;
    CHECK(hasStatus(server.answerTo("GET /" + std::string(HeaderLimit, 'a') + " HTTP/1.1\r\n\r\n"),
                    431));
    CHECK(hasStatus(
        server.answerTo("GET / HTTP/1.1\r\nX: " + std::string(HeaderLimit, 'a') + "\r\n\r\n"),
        431));
}

TEST_CASE("http: slow senders are refused")
{
    const test_server server;
    CHECK(hasStatus(server.answerTo("GET / HTTP/1.1\r\nHost:"), 408));
    CHECK(hasStatus(server.answerTo(post("Content-Length: 10\r\n", "abc")), 408));
    // A connection without a request is closed without an answer.
    CHECK(server.answerTo("").empty());
}

TEST_CASE("http: the time for a header or a body holds for the whole of it")
{
    const test_server server;
    for (const std::string_view start :
         {"GET / HTTP/1.1\r\nX: ", "POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\n"}) {
        raw_client client(server.port());
        client.send(start);
        // Each byte comes well within the limit; all of them together don't.
        std::thread dripping([&] {
            for (int i = 0; i < 200 && client.send("x"); ++i)
                std::this_thread::sleep_for(20ms);
        });
        const std::string answer = client.readUntil("\r\n\r\n");
        CHECK(hasStatus(answer, 408));
        client.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send);
        dripping.join();
    }
}

TEST_CASE("http: a part of a header holds a connection for the header's time, not the idle time")
{
    http_server_options options = smallLimits();
    options.idleTimeout = 60s; // longer than the client waits for an answer
    const test_server server(options);
    CHECK(hasStatus(server.answerTo("GET / HTTP/1.1\r\nHost:"), 408));
    CHECK(hasStatus(server.answerTo("G"), 408));
    raw_client client(server.port());
    client.send("GET /first HTTP/1.1\r\n\r\nGET /second HT");
    CHECK(client.readUntil("GET /first").find("200") != std::string::npos);
    CHECK(client.readAll().find(" 408 ") != std::string::npos);
}

TEST_CASE("http: limits can be changed while serving")
{
    io_thread thread;
    std::unique_ptr<http_server> server;
    std::uint16_t port = 0;
    thread.run([&] {
        server = std::make_unique<http_server>(thread, smallLimits(), echo);
        port = *server->listen("127.0.0.1:0");
        server->setCallerLimits(300ms, 400ms, HeaderLimit, 2 * BodyLimit);
    });
    {
        raw_client client(port);
        client.send(post("Content-Length: 1500\r\n", std::string(1'500, 'b')));
        CHECK(hasStatus(client.readUntil("bbb"), 200));
    }
    thread.run([&] { server->drain(); });
}

TEST_CASE("http: a drained server closes idle connections and finishes begun requests")
{
    io_thread thread;
    std::unique_ptr<http_server> server;
    std::uint16_t port = 0;
    thread.run([&] {
        server = std::make_unique<http_server>(thread, http_server_options(), echo);
        port = *server->listen("127.0.0.1:0");
    });
    raw_client idle(port);
    idle.send("GET /one HTTP/1.1\r\n\r\n");
    CHECK(idle.readUntil("GET /one").find("200") != std::string::npos);
    raw_client begun(port);
    begun.send("GET /two HT");
    while (server->activeRequests() == 0)
        std::this_thread::sleep_for(1ms);
    thread.run([&] { server->drain(); });
    CHECK(idle.readAll().empty());
    begun.send("TP/1.1\r\n\r\n");
    const std::string answer = begun.readAll();
    CHECK(hasStatus(answer, 200));
    CHECK(answer.find("Connection: close") != std::string::npos);
}

TEST_CASE("http: a request that has arrived when a drain closes idle connections is answered")
{
    io_thread thread;
    std::unique_ptr<http_server> server;
    std::uint16_t port = 0;
    thread.run([&] {
        server = std::make_unique<http_server>(thread, http_server_options(), echo);
        port = *server->listen("127.0.0.1:0");
    });
    raw_client client(port);
    client.send("GET /one HTTP/1.1\r\n\r\n");
    CHECK(client.readUntil("GET /one").find("200") != std::string::npos);
    thread.run([&] {
        client.send("GET /two HTTP/1.1\r\n\r\n");
        std::this_thread::sleep_for(20ms);
        server->drain();
    });
    CHECK(hasStatus(client.readAll(), 200));
}

TEST_CASE("http: a stream that began before a stop doesn't end its connection unsaid")
{
    io_thread thread;
    std::unique_ptr<http_server> server;
    std::uint16_t port = 0;
    const auto stopInStream = [&server](http_exchange &exchange) {
        http_response response;
        if (exchange.request().path != "/stream")
            return exchange.respond(response);
        exchange.beginStream(response);
        server->closeAfterAnswers();
        exchange.writeChunk("part");
        exchange.endStream();
    };
    thread.run([&] {
        server = std::make_unique<http_server>(thread, http_server_options(), stopInStream);
        port = *server->listen("127.0.0.1:0");
    });
    raw_client client(port);
    client.send("GET /stream HTTP/1.1\r\n\r\n");
    CHECK(client.readUntil("0\r\n\r\n").find("Connection: close") == std::string::npos);
    client.send("GET /next HTTP/1.1\r\n\r\n");
    const std::string answer = client.readAll();
    CHECK(hasStatus(answer, 200));
    CHECK(answer.find("Connection: close") != std::string::npos);
    thread.run([&] { server->drain(); });
}

TEST_CASE("http: a caller that closes is noticed without a read")
{
    io_thread thread;
    std::unique_ptr<http_server> server;
    std::uint16_t port = 0;
    boost::fibers::promise<void> gone;
    thread.run([&] {
        server = std::make_unique<http_server>(thread, smallLimits(), [&](http_exchange &exchange) {
            exchange.watchCaller([&] { gone.set_value(); });
            while (!exchange.callerDisconnected())
                boost::this_fiber::sleep_for(5ms);
            boost::this_fiber::sleep_for(5ms);
            exchange.unwatchCaller();
            exchange.abortStream();
        });
        port = *server->listen("127.0.0.1:0");
    });
    {
        raw_client client(port);
        client.send("GET / HTTP/1.1\r\n\r\n");
    }
    CHECK(gone.get_future().wait_for(20s) == boost::fibers::future_status::ready);
    thread.run([&] { server->drain(); });
}

TEST_CASE("http: malformed bytes get 400")
{
    const test_server server;
    for (const char *bytes :
         {"\r\r\r\r", "nonsense\r\n\r\n", "GET\r\n\r\n", "GET / HTTP/9.9\r\n\r\n",
          "GET / HTTP/1.1\r\nno colon\r\n\r\n", "GET / HTTP/1.1\r\n: x\r\n\r\n",
          "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
          "POST / HTTP/1.1\r\nContent-Length: 1x\r\n\r\n",
          "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
          "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
          "\x16\x03\x01\x02\x01\x01\xfc"}) {
        INFO(bytes);
        CHECK(hasStatus(server.answerTo(bytes), 400));
    }
}

TEST_CASE("http: a connection carries requests one after another, also sent ahead")
{
    const test_server server;
    raw_client client(server.port());
    client.send("GET /first HTTP/1.1\r\n\r\n");
    CHECK(endsWith(client.readUntil("/first "), "GET /first "));
    client.send("GET /second HTTP/1.1\r\n\r\nGET /third HTTP/1.1\r\nConnection: close\r\n\r\n");
    const std::string rest = client.readAll();
    CHECK(answersIn(rest) == 2);
    CHECK(rest.find("GET /second ") < rest.find("GET /third "));
}

TEST_CASE("http: HTTP/1.0 callers get an unframed stream")
{
    const test_server server;
    const std::string answer = server.answerTo("GET /stream HTTP/1.0\r\n\r\n");
    CHECK(answer.find("chunked") == std::string::npos);
    CHECK(endsWith(answer, "\r\n\r\nonetwo"));
}

TEST_CASE("http: a broken stream doesn't end in order for an HTTP/1.0 caller")
{
    const test_server server;
    raw_client client(server.port());
    client.send("GET /broken HTTP/1.0\r\nHost: h\r\n\r\n");
    char byte = 0;
    ssize_t size = 1;
    while (size > 0)
        size = ::recv(client.socket().native_handle(), &byte, 1, 0);
    CHECK(size < 0);
    CHECK(errno == ECONNRESET);
}

TEST_CASE("http: HEAD gets no body, whole or streamed, and the connection stays usable")
{
    const test_server server;
    raw_client client(server.port());
    client.send("HEAD /whole HTTP/1.1\r\n\r\nHEAD /stream HTTP/1.1\r\n\r\n"
                "GET /last HTTP/1.1\r\nConnection: close\r\n\r\n");
    const std::string received = client.readAll();
    CHECK(answersIn(received) == 3);
    CHECK(received.find("Content-Length: 12\r\n\r\nHTTP/1.1 200") != std::string::npos);
    CHECK(received.find("chunked\r\n\r\nHTTP/1.1 200") != std::string::npos);
    CHECK(endsWith(received, "GET /last "));
}

TEST_CASE("http: a refusal after a HEAD has a body")
{
    const test_server server;
    raw_client client(server.port());
    client.send("HEAD /whole HTTP/1.1\r\n\r\nnonsense\r\n\r\n");
    CHECK(client.readAll().find("malformed_http") != std::string::npos);
}

TEST_CASE("http: 100-continue is sent before the body, and not before a refusal")
{
    const test_server server;
    for (const std::string_view name : {"100-continue", "100-Continue"}) {
        raw_client client(server.port());
        client.send(post("Content-Length: 3\r\nExpect: " + std::string(name) + "\r\n", ""));
        CHECK(client.readUntil("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
        client.send("abc");
        CHECK(endsWith(client.readAll(), "POST /p abc"));
    }
    CHECK(hasStatus(server.answerTo(post("Content-Length: 9999\r\nExpect: 100-continue\r\n", "")),
                    413));
}

TEST_CASE("http: the header's verdict goes before the body")
{
    http_server_options options = smallLimits();
    options.onHeader = [](const http_request &request) {
        header_verdict verdict{5, std::nullopt};
        if (request.path == "/no")
            verdict.refusal = http_response{401, "text/plain", {}, "refused"};
        return verdict;
    };
    const test_server server(options);
    const std::string refused = server.answerTo("POST /no HTTP/1.1\r\nContent-Length: 900\r\n\r\n");
    CHECK(hasStatus(refused, 401));
    CHECK(endsWith(refused, "refused"));
    CHECK(hasStatus(server.answerTo(postSized(6)), 413));
    CHECK(hasStatus(server.answerTo(postSized(5)), 200));
}

TEST_CASE("http: a handler that does not answer is an explicit error")
{
    const test_server server;
    CHECK(hasStatus(server.answerTo("GET /silent HTTP/1.1\r\n\r\n"), 500));
}

TEST_CASE("http: random bytes never hang or end the server")
{
    const test_server server;
    const bool held = rc::check("every connection ends", [&] {
        const auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
        raw_client client(server.port());
        client.send(bytes);
        client.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send);
        const std::string answer = client.readAll();
        RC_ASSERT(answer.empty() || answer.rfind("HTTP/1.1 ", 0) == 0);
    });
    CHECK(held);
    CHECK(hasStatus(server.answerTo("GET / HTTP/1.1\r\nConnection: close\r\n\r\n"), 200));
}
